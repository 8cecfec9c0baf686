#include "azureshore/core/hash.hpp"
#include "azureshore/rollout/internal/controller_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::rollout {

namespace {

// A daemon that knows no state of an order for this long reads the store itself, and again after
// twice the time.
constexpr duration first_list_delay = std::chrono::seconds(3);
constexpr duration max_list_delay = std::chrono::seconds(60);

std::string whole_milliseconds(duration span)
{
    return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

std::string_view to_string(wire::rollout_phase phase)
{
    switch (phase) {
    case wire::rollout_phase::unknown:
        return "unknown";
    case wire::rollout_phase::running:
        return "running";
    case wire::rollout_phase::moving:
        return "moving";
    case wire::rollout_phase::completed:
        return "completed";
    case wire::rollout_phase::rolled_back:
        return "rolled_back";
    }
    return "";
}

controller::state::record* controller::state::find(const service_id& service,
                                                   const std::string& new_version)
{
    const auto found = this->records.find(service);
    return found == this->records.end() || found->second.given.new_version != new_version
               ? nullptr
               : &found->second;
}

// The decision on a version stays, so a repeated order for it begins nothing new.
void controller::state::take_order(time_point at, const order& given, bool may_be_old)
{
    this->now = at;
    if (auto* known = this->find(given.service, given.new_version)) {
        known->given.time_limit = given.time_limit;
        return;
    }
    record made;
    made.given = given;
    made.given_at = at;
    made.known_at = at;
    made.may_be_old = may_be_old;
    auto& taken = this->records.insert_or_assign(given.service, std::move(made)).first->second;
    // What the store holds may be of the order before.
    this->states_known = false;
    if (this->hooks.log) {
        this->hooks.log({"rollout_ordered",
                         {{"service", given.service.value},
                          {"target", given.new_version},
                          {"limit_ms", whole_milliseconds(given.time_limit)}}});
    }
    this->direct(taken);
}

void controller::state::withdraw_order(const service_id& service)
{
    if (this->records.erase(service) > 0) {
        this->hooks.release(service);
        if (this->hooks.log) {
            this->hooks.log({"rollout_withdrawn", {{"service", service.value}}});
        }
    }
}

void controller::state::observe(const service_id& service, std::string_view route,
                                const std::string& version, bool failed, bool cold,
                                duration response_time)
{
    const auto found = this->records.find(service);
    if (found == this->records.end() || found->second.is_final()) {
        return;
    }
    auto& of = found->second;
    const bool is_target = version == of.given.new_version;
    wire::version_counts counted{1, failed ? 1U : 0U, {}};
    if (!cold && !failed) {
        const auto bucket = bucket_of(response_time);
        counted.times.resize(bucket + 1);
        counted.times[bucket] = 1;
    }
    auto& total = is_target ? of.target_total : of.other_total;
    total.responses += counted.responses;
    total.failures += counted.failures;
    wire::route_counts made;
    made.route = stable_hash(route);
    (is_target ? made.target : made.other) = std::move(counted);
    merge(of.own_counts, {made});
    merge(of.unreported, {made});
}

void controller::state::take_report(const wire::rollout_report& report)
{
    for (const auto& each : report.evidence) {
        if (auto* of = this->find(each.service, each.new_version)) {
            merge(of->unreported, each.routes);
        }
    }
}

// A final state that the store holds wins, then the later phase.
void controller::state::take_notice(time_point at, const wire::rollout_notice& notice)
{
    this->now = at;
    for (const auto& each : notice.rollouts) {
        auto* of = this->find(each.service, each.new_version);
        if (of == nullptr) {
            continue;
        }
        of->noticed_at = at;
        of->given_at = std::min(of->given_at, at - each.age);
        const bool is_final = each.phase >= wire::rollout_phase::completed;
        const bool wins = is_final && each.stored && !(of->is_final() && of->stored);
        const bool is_later = each.phase > of->phase && !(of->is_final() && of->stored);
        if (wins || is_later) {
            this->set_phase(*of, each.phase, each.stored, "notice");
        }
    }
}

void controller::state::set_phase(record& of, wire::rollout_phase phase, bool stored,
                                  std::string_view cause)
{
    const bool changed = of.phase != phase;
    if (!changed && of.stored == stored) {
        return;
    }
    of.phase = phase;
    of.stored = stored;
    if (of.is_final() && stored && !of.settled_at) {
        of.settled_at = this->now;
    }
    if (phase == wire::rollout_phase::moving) {
        of.moving_since = this->now;
    }
    this->notice_due = true;
    if (this->hooks.log) {
        this->hooks.log({"rollout_phase",
                         {{"service", of.given.service.value},
                          {"target", of.given.new_version},
                          {"phase", std::string(to_string(phase))},
                          {"stored", stored ? "true" : "false"},
                          {"cause", std::string(cause)},
                          {"age_ms", whole_milliseconds(this->now - of.given_at)}}});
    }
    this->direct(of);
}

bool controller::state::in_contact(const record& of) const
{
    return this->decides ||
           (of.noticed_at && this->now - *of.noticed_at < this->bounds.rollback_within / 2);
}

void controller::state::direct(record& of)
{
    auto next = traffic::held;
    if (of.phase == wire::rollout_phase::moving || of.phase == wire::rollout_phase::completed) {
        next = traffic::moved;
    }
    else if (of.phase == wire::rollout_phase::running && this->in_contact(of)) {
        const bool found_bad =
            of.own_finding_at && this->now - *of.own_finding_at >= this->bounds.rollback_within / 2;
        next = found_bad ? traffic::held : traffic::exposed;
    }
    if (of.directed == next) {
        return;
    }
    of.directed = next;
    this->hooks.direct(of.given, next);
    if (this->hooks.log) {
        this->hooks.log({"rollout_traffic",
                         {{"service", of.given.service.value},
                          {"target", of.given.new_version},
                          {"use", next == traffic::held      ? "held"
                                  : next == traffic::exposed ? "exposed"
                                                             : "moved"}}});
    }
}

void controller::state::weigh_own_evidence(record& of)
{
    of.own_evidence.add(this->now, std::exchange(of.own_counts, {}));
    if (!of.own_finding_at && of.own_evidence.found()) {
        of.own_finding_at = this->now;
    }
}

// A report that is lost is not repeated: it is a part of the evidence on both versions.
void controller::state::report_counts()
{
    wire::rollout_report report;
    for (const auto& [service, of] : this->records) {
        if (!of.unreported.empty()) {
            report.evidence.push_back({service, of.given.new_version, of.unreported});
        }
    }
    if (!report.evidence.empty() && this->hooks.report(report)) {
        for (auto& [service, of] : this->records) {
            of.unreported.clear();
        }
    }
}

void controller::state::tick(time_point at)
{
    this->now = at;
    if (this->records.empty()) {
        return;
    }
    this->decides = this->hooks.decides();
    for (auto& [service, of] : this->records) {
        if (!of.is_final()) {
            this->weigh_own_evidence(of);
        }
        if (this->decides) {
            this->decide(of);
        }
        else {
            this->list_if_unknown(of);
        }
        this->direct(of);
    }
    if (this->decides) {
        this->notify();
    }
    else {
        this->states_known = false;
        this->notice_due = false;
        this->report_counts();
    }
}

void controller::state::list_if_unknown(record& of)
{
    if (of.phase != wire::rollout_phase::unknown) {
        of.list_at.reset();
        return;
    }
    if (!of.list_at) {
        of.list_delay = first_list_delay;
        of.list_at = this->now + of.list_delay;
    }
    if (this->now < *of.list_at) {
        return;
    }
    of.list_delay = std::min<duration>(of.list_delay * 2, max_list_delay);
    const double jitter = 0.5 + uniform(this->hooks.random) / 2;
    of.list_at = this->now + std::chrono::duration_cast<duration>(
                                 std::chrono::duration<double, std::nano>(of.list_delay) * jitter);
    this->list_states();
}

controller::controller(settings bounds, controller_hooks hooks)
    : inner(std::make_shared<state>(bounds, std::move(hooks)))
{
}

controller::~controller() = default;

void controller::set_settings(const settings& bounds)
{
    this->inner->bounds = bounds;
    // The share may have changed.
    for (auto& [service, of] : this->inner->records) {
        of.directed.reset();
    }
}

void controller::take_order(time_point now, const order& given, bool may_be_old)
{
    this->inner->take_order(now, given, may_be_old);
}

void controller::withdraw_order(const service_id& service)
{
    this->inner->withdraw_order(service);
}

std::vector<service_id> controller::ordered_services() const
{
    std::vector<service_id> services;
    for (const auto& [service, of] : this->inner->records) {
        services.push_back(service);
    }
    return services;
}

void controller::observe(const service_id& service, std::string_view route,
                         const std::string& version, bool failed, bool cold, duration response_time)
{
    this->inner->observe(service, route, version, failed, cold, response_time);
}

void controller::take_report(const wire::rollout_report& report)
{
    this->inner->take_report(report);
}

void controller::take_notice(time_point now, const wire::rollout_notice& notice)
{
    this->inner->take_notice(now, notice);
}

void controller::tick(time_point now)
{
    this->inner->tick(now);
}

std::optional<wire::rollout_phase> controller::phase(const service_id& service) const
{
    const auto found = this->inner->records.find(service);
    return found == this->inner->records.end() ? std::nullopt : std::optional(found->second.phase);
}

void controller::write_metrics(observe::metrics& into) const
{
    for (const auto& [service, of] : this->inner->records) {
        into.set("azureshore_rollout_phase",
                 {{"service", service.value}, {"target", of.given.new_version}},
                 static_cast<double>(of.phase));
        for (const auto& [name, total] :
             {std::pair("target", &of.target_total), std::pair("other", &of.other_total)}) {
            const observe::labels labels{{"service", service.value}, {"version", name}};
            into.add("azureshore_rollout_responses_total", labels, total->responses);
            into.add("azureshore_rollout_failures_total", labels, total->failures);
        }
    }
}

} // namespace azureshore::rollout
