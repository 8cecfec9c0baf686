#pragma once

#include "azureshore/rollout/internal/rollout_record.hpp"

namespace azureshore::rollout {

class controller::state : public std::enable_shared_from_this<controller::state> {
public:
    state(settings own_bounds, controller_hooks owner_hooks)
        : bounds(own_bounds), hooks(std::move(owner_hooks))
    {
    }

    void take_order(time_point now, const order& given, bool may_be_old);
    void withdraw_order(const service_id& service);
    void observe(const service_id& service, std::string_view route, const std::string& version,
                 bool failed, bool cold, duration response_time);
    void take_report(const wire::rollout_report& report);
    void take_notice(time_point now, const wire::rollout_notice& notice);
    void tick(time_point now);

    settings bounds;
    std::map<service_id, detail::rollout_record> records;

private:
    using record = detail::rollout_record;

    record* find(const service_id& service, const std::string& new_version);
    void set_phase(record& of, wire::rollout_phase phase, bool stored, std::string_view cause);
    void direct(record& of);
    // Whether this daemon has heard lately from the one that decides.
    [[nodiscard]] bool in_contact(const record& of) const;
    void weigh_own_evidence(record& of);
    void report_counts();

    // The part of the daemon that decides.
    void decide(record& of);
    void follow(record& of, const detail::reasoned_choice& choice);
    void write(record& of, decided_state state);
    void written(const order& of, decided_state state, write_outcome outcome);
    void list_states();
    void take_states(const status_list& list);
    void take_state(const status_list::entry& entry);
    void notify();
    [[nodiscard]] wire::rollout_status status_of(const record& of) const;
    // Lists the states in the store when no notice came for a time.
    void list_if_unknown(record& of);

    controller_hooks hooks;
    time_point now;
    bool decides = false;
    // Whether the states in the store are known up to `end_offset`.
    bool states_known = false;
    std::uint64_t end_offset = 0;
    bool listing = false;
    std::optional<time_point> listed_at;
    bool notice_due = false;
};

} // namespace azureshore::rollout
