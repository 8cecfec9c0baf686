#include "azureshore/daemon/internal/gateway_store.hpp"

#include <utility>

// The part of gateway_store that takes the registrations of backend servers.
namespace azureshore::daemon::detail {

bool gateway_store::take_earlier_registration(const wire::earlier_record& earlier)
{
    if (!earlier.record.value) {
        return this->take_earlier_removal(earlier.record);
    }
    const auto read = this->platform.read_registration(
        {earlier.record.offset, earlier.record.key, earlier.record.value});
    return read.ok() && this->registry.apply_earlier_registration(*read);
}

// Without the registration that was removed, a removal can't be distinguished from that of an
// earlier run.
bool gateway_store::take_earlier_removal(const wire::shared_record& removal)
{
    const auto last =
        this->platform.read_registration({removal.offset, removal.key, removal.dropped_value});
    return last.ok() && this->registry.apply_earlier_removal(*last);
}

void gateway_store::take_all_registrations(const std::vector<platform::keyed_record>& records,
                                           const std::vector<wire::earlier_record>& earlier)
{
    // Newer records replace those of the list before it is applied: otherwise, waiting requests
    // could be sent to a backend server because of its older state.
    std::map<std::string, platform::keyed_record> newest;
    for (const auto& each : records) {
        newest[each.key] = each;
    }
    for (const auto& each : earlier) {
        const auto listed = newest.find(each.record.key);
        if (!each.record.value) {
            this->take_earlier_removal(each.record);
            if (listed != newest.end()) {
                const auto read = this->platform.read_registration(listed->second);
                if (read.ok() && this->registry.was_removed_since(*read)) {
                    newest.erase(listed);
                }
            }
        }
        else if (listed != newest.end()) {
            listed->second.value = each.record.value;
        }
    }
    std::vector<platform::keyed_record> merged;
    merged.reserve(newest.size());
    for (auto& [key, each] : newest) {
        merged.push_back(std::move(each));
    }
    const auto all = this->read_registrations(merged);
    this->take_list([&] { this->registry.apply_full_list(steady_now(), all); });
}

std::set<std::string>
gateway_store::merge_registrations(const std::vector<platform::keyed_record>& records)
{
    const auto all = this->read_registrations(records);
    std::set<std::string> outdated;
    this->take_list([&] {
        for (const auto& each : this->registry.merge_restored_list(steady_now(), all)) {
            outdated.insert(each.value);
        }
    });
    return outdated;
}

std::vector<balance::registration>
gateway_store::read_registrations(const std::vector<platform::keyed_record>& records)
{
    std::vector<balance::registration> all;
    for (const auto& each : records) {
        const auto read = this->platform.read_registration(each);
        if (read.ok()) {
            all.push_back(*read);
        }
        else if (each.value) {
            this->log_unreadable(each, read.status());
        }
    }
    return all;
}

void gateway_store::take_list(const std::function<void()>& change)
{
    this->listing = true;
    change();
    this->listing = false;
    this->hooks.log({"backends_listed", {{"count", std::to_string(this->registry.size())}}});
    this->hooks.backends_listed();
}

sharing::record_effect gateway_store::take_registration(const platform::keyed_record& record)
{
    const auto effect = [](bool is_news) {
        return is_news ? sharing::record_effect::changed : sharing::record_effect::unchanged;
    };
    if (!record.value) {
        return effect(this->registry.apply_removal(steady_now(), backend_id{record.key}));
    }
    const auto read = this->platform.read_registration(record);
    if (!read.ok()) {
        this->log_unreadable(record, read.status());
        return sharing::record_effect::unusable;
    }
    return effect(this->registry.apply_registration(*read));
}

} // namespace azureshore::daemon::detail
