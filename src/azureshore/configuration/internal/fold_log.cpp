#include "azureshore/configuration/internal/fold_log.hpp"

#include <absl/strings/str_join.h>

#include <string>
#include <utility>
#include <vector>

namespace azureshore::configuration::detail {

namespace {

// The counter of a verdict; null for a record that is expected to change nothing.
std::uint64_t* counter_of(replica_counters& counters, verdict made)
{
    switch (made) {
    case verdict::no_effect:
        return nullptr;
    case verdict::accepted:
        return &counters.accepted;
    case verdict::malformed:
        return &counters.malformed;
    case verdict::from_future:
        return &counters.from_future;
    case verdict::oversized:
        return &counters.oversized;
    default:
        return &counters.refused;
    }
}

std::string_view event_of(verdict made)
{
    switch (made) {
    case verdict::accepted:
        return "configuration-accepted";
    case verdict::malformed:
    case verdict::from_future:
    case verdict::oversized:
        return "configuration-skipped";
    default:
        return "configuration-refused";
    }
}

std::vector<observe::decision_field> fields_of(std::uint64_t offset, const fold_outcome& outcome)
{
    std::vector<observe::decision_field> fields{{"offset", std::to_string(offset)}};
    if (!outcome.change_id.empty()) {
        fields.push_back({"change", outcome.change_id});
        fields.push_back({"author", outcome.author});
    }
    if (outcome.made != verdict::accepted) {
        fields.push_back({"why", std::string(to_string(outcome.made))});
    }
    if (!outcome.conflicts.empty()) {
        const auto path_text = [](std::string* out, const wire::setting_path& path) {
            out->append(to_string(path));
        };
        fields.push_back({"conflicts", absl::StrJoin(outcome.conflicts, ",", path_text)});
    }
    return fields;
}

} // namespace

void note_outcome(const observe::decision_hook& log, replica_counters& counters,
                  std::uint64_t offset, const fold_outcome& outcome)
{
    auto* counter = counter_of(counters, outcome.made);
    if (counter == nullptr) {
        return;
    }
    ++*counter;
    if (log) {
        log({event_of(outcome.made), fields_of(offset, outcome)});
    }
}

} // namespace azureshore::configuration::detail
