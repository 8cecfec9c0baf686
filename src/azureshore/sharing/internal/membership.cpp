#include "azureshore/sharing/internal/sharing_constants.hpp"
#include "azureshore/sharing/internal/sharing_state.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::sharing {

namespace {

// A daemon is declared gone when it has not answered this many news messages in a row.
constexpr std::size_t max_missed_rounds = 4;
// Changes of members are collected for this long before they are sent on.
constexpr duration flush_delay = std::chrono::milliseconds(100);
// Entries of gone daemons are kept for this long, so that a daemon that missed it does not bring
// them back.
constexpr duration gone_retention = std::chrono::seconds(60);
// A daemon that has just got its first view compares it with others this often, since daemons that
// start together know few others at first.
constexpr std::size_t first_comparisons = 4;
constexpr duration first_comparison_interval = std::chrono::milliseconds(150);
// Entries in one message, so that the message fits into a datagram.
constexpr std::size_t max_entries_per_message = 300;

} // namespace

void store_sharing::state::introduce(const wire::member_entry& entry, bool everywhere)
{
    if (this->known_members.merge(this->now(), entry)) {
        this->spread(this->known_members.last_entry(entry.name).value_or(entry), everywhere);
        return;
    }
    const auto known = this->known_members.last_entry(entry.name);
    if (known && *known != entry) {
        // The sender was declared gone, or its incarnation has fallen back. It contradicts this.
        this->send_members(entry, {*known});
    }
}

void store_sharing::state::spread(const wire::member_entry& entry, bool everywhere)
{
    this->pending_changes[entry.name] = entry;
    this->pending_for_all = this->pending_for_all || everywhere;
    if (!std::exchange(this->flush_scheduled, true)) {
        this->run_after(flush_delay, [](state& self) { self.flush_member_changes(); });
    }
}

void store_sharing::state::flush_member_changes()
{
    this->flush_scheduled = false;
    auto recipients = this->known_members.children();
    if (std::exchange(this->pending_for_all, false)) {
        for (const auto& each : this->known_members.roots()) {
            if (std::find(recipients.begin(), recipients.end(), each) == recipients.end()) {
                recipients.push_back(each);
            }
        }
    }
    wire::member_changes changes;
    for (const auto& [name, entry] : std::exchange(this->pending_changes, {})) {
        changes.members.push_back(entry);
        if (changes.members.size() == max_entries_per_message) {
            this->send_to(recipients, std::exchange(changes, {}));
        }
    }
    if (!changes.members.empty()) {
        this->send_to(recipients, changes);
    }
    this->known_members.forget_gone(this->now() - gone_retention);
    this->hooks.members_changed();
}

void store_sharing::state::handle_members(const std::vector<wire::member_entry>& entries)
{
    const bool first_view = !std::exchange(this->members_listed, true);
    this->met_others = true;
    this->peer_answered_at = this->now();
    for (const auto& each : entries) {
        if (!this->known_members.merge(this->now(), each)) {
            continue;
        }
        if (each.name == this->settings.self) {
            this->spread(this->known_members.self(), true);
        }
        else if (!first_view) {
            this->spread(each, false);
        }
    }
    if (first_view) {
        this->hooks.members_changed();
        this->compare_first_views(first_comparisons);
    }
}

void store_sharing::state::send_members(const wire::member_entry& recipient,
                                        const std::vector<wire::member_entry>& entries)
{
    for (std::size_t begin = 0; begin < entries.size(); begin += max_entries_per_message) {
        const auto first = entries.begin() + static_cast<std::ptrdiff_t>(begin);
        const auto count = std::min(max_entries_per_message, entries.size() - begin);
        this->send_to({recipient},
                      wire::member_changes{{first, first + static_cast<std::ptrdiff_t>(count)}});
    }
}

void store_sharing::state::send_digests(const wire::member_entry& recipient, bool is_answer)
{
    this->send_to({recipient},
                  wire::member_digests{this->known_members.self(),
                                       this->known_members.bucket_digests(), is_answer});
}

void store_sharing::state::handle_digests(const wire::member_digests& digests)
{
    const auto own = this->known_members.bucket_digests();
    if (digests.buckets.size() != own.size()) {
        return;
    }
    std::vector<wire::member_entry> entries;
    for (std::size_t bucket = 0; bucket < own.size(); ++bucket) {
        if (own[bucket] != digests.buckets[bucket]) {
            const auto differing = this->known_members.bucket(bucket);
            entries.insert(entries.end(), differing.begin(), differing.end());
        }
    }
    this->introduce(digests.sender, false);
    this->send_members(digests.sender, entries);
    if (!digests.is_answer && !entries.empty()) {
        this->send_digests(digests.sender, true);
    }
}

// Compares views with another daemon if this one's differs from the reader's.
void store_sharing::state::compare_views(std::uint64_t reader_digest)
{
    if (reader_digest == this->known_members.digest()) {
        return;
    }
    for (const auto& each : this->random_members(1)) {
        this->send_digests(each, false);
    }
}

void store_sharing::state::compare_first_views(std::size_t comparisons_left)
{
    if (comparisons_left == 0) {
        return;
    }
    this->run_after(this->jittered(first_comparison_interval), [comparisons_left](state& self) {
        for (const auto& each : self.random_members(1)) {
            self.send_digests(each, false);
        }
        self.compare_first_views(comparisons_left - 1);
    });
}

void store_sharing::state::handle_hello(const wire::member_hello& hello)
{
    this->introduce(hello.sender, true);
    this->reports[hello.sender.name] = {0, hello.request_rate};
}

// Returns the parent in the first tree. A root's parent is the reader.
std::optional<wire::member_entry> store_sharing::state::report_recipient() const
{
    auto recipient = this->known_members.parent();
    if (!recipient && this->reader && !this->is_reader()) {
        recipient = this->known_members.find(*this->reader);
    }
    return recipient;
}

// Tells its parent that this daemon lives.
void store_sharing::state::report_to_parent()
{
    const bool reads = this->is_reader();
    if (const auto recipient = this->report_recipient()) {
        // The reader counts its own subtree itself.
        const double rate = reads ? 0 : this->subtree_request_rate();
        this->send_to({*recipient}, wire::member_hello{this->known_members.self(),
                                                       this->known_members.digest(), rate});
    }
}

// Called once for each round of news. Declares the daemons gone that have not reported to this one
// for several rounds.
void store_sharing::state::count_missed_reports()
{
    auto reporters = this->known_members.reporting_children();
    if (this->is_reader()) {
        const auto roots = this->known_members.reporting_roots();
        reporters.insert(reporters.end(), roots.begin(), roots.end());
    }
    std::map<vm_id, child_report> counted;
    for (const auto& each : reporters) {
        if (counted.contains(each.name)) {
            continue;
        }
        auto report = this->reports[each.name];
        if (++report.missed_rounds <= max_missed_rounds) {
            counted[each.name] = report;
        }
        else if (const auto gone = this->known_members.declare_gone(this->now(), each.name)) {
            this->spread(*gone, true);
        }
    }
    this->reports = std::move(counted);
}

double store_sharing::state::subtree_request_rate()
{
    double sum = this->hooks.request_rate();
    for (const auto& [name, each] : this->reports) {
        sum += each.request_rate;
    }
    return sum;
}

// Prefers daemons of the own data centre, as messages between data centres cost more.
std::vector<wire::member_entry> store_sharing::state::random_members(std::size_t count)
{
    constexpr double local_share = 0.75;
    auto others = this->known_members.others();
    const auto remote_begin =
        std::partition(others.begin(), others.end(), [this](const wire::member_entry& each) {
            return each.data_centre == this->settings.data_centre;
        });
    std::vector<wire::member_entry> local(others.begin(), remote_begin);
    std::vector<wire::member_entry> remote(remote_begin, others.end());
    std::vector<wire::member_entry> chosen;
    while (chosen.size() < count && !(local.empty() && remote.empty())) {
        const bool from_local =
            remote.empty() || (!local.empty() && uniform(this->hooks.random) < local_share);
        auto& candidates = from_local ? local : remote;
        const auto index = uniform_index(this->hooks.random, candidates.size());
        chosen.push_back(std::exchange(candidates[index], candidates.back()));
        candidates.pop_back();
    }
    return chosen;
}

std::vector<wire::member_entry> store_sharing::state::random_remote_members(std::size_t count)
{
    auto candidates = this->known_members.others();
    std::erase_if(candidates, [this](const wire::member_entry& each) {
        return each.data_centre == this->settings.data_centre;
    });
    std::vector<wire::member_entry> chosen;
    while (chosen.size() < count && !candidates.empty()) {
        const auto index = uniform_index(this->hooks.random, candidates.size());
        chosen.push_back(std::exchange(candidates[index], candidates.back()));
        candidates.pop_back();
    }
    return chosen;
}

void store_sharing::state::leave()
{
    this->known_members.leave();
    this->spread(this->known_members.self(), true);
    this->flush_member_changes();
}

} // namespace azureshore::sharing
