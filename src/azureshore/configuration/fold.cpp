#include "azureshore/configuration/fold.hpp"

#include "azureshore/configuration/check.hpp"
#include "azureshore/configuration/inherit.hpp"
#include "azureshore/core/failure.hpp"

#include <algorithm>
#include <utility>

namespace azureshore::configuration {

namespace {

constexpr std::size_t max_id_bytes = 128;
constexpr std::size_t change_overhead = 32;

std::optional<wire::setting_value> value_at(const tree& settings, const wire::setting_path& path)
{
    const auto at = settings.find(path);
    return at == settings.end() ? std::nullopt : std::optional(at->second);
}

std::size_t size_of_value(const std::optional<wire::setting_value>& value)
{
    const auto* text = value ? std::get_if<std::string>(&*value) : nullptr;
    return text == nullptr ? sizeof(double) : text->size();
}

std::size_t size_of_steps(const wire::accepted_change& change)
{
    std::size_t total = 0;
    for (const auto& step : change.steps) {
        for (const auto& name : step.path) {
            total += name.size() + 1;
        }
        total += size_of_value(step.before) + size_of_value(step.after);
    }
    return total;
}

std::size_t size_of_change(const wire::accepted_change& change)
{
    return change.id.size() + change.author.size() + change_overhead + size_of_steps(change);
}

verdict verdict_of(const absl::Status& status)
{
    switch (failure_of(status)) {
    case failure::record_from_future:
        return verdict::from_future;
    case failure::record_oversized:
        return verdict::oversized;
    default:
        return verdict::malformed;
    }
}

bool is_well_formed(const wire::configuration_change& change)
{
    const bool named = !change.id.empty() && change.id.size() <= max_id_bytes;
    const bool paths = std::all_of(change.edits.begin(), change.edits.end(),
                                   [](const auto& edit) { return edit.path.size() >= 2; });
    return named && change.author.size() <= max_id_bytes && paths;
}

wire::accepted_change accepted_from(const wire::configuration_change& change,
                                    std::uint64_t revision, const tree& before)
{
    wire::accepted_change made{change.id, change.author, change.made_at, revision, {}};
    for (const auto& edit : change.edits) {
        made.steps.push_back({edit.path, value_at(before, edit.path), edit.value});
    }
    return made;
}

} // namespace

std::string_view to_string(verdict made)
{
    switch (made) {
    case verdict::accepted:
        return "accepted";
    case verdict::repeated:
        return "repeated";
    case verdict::conflict:
        return "conflict";
    case verdict::base_forgotten:
        return "base-forgotten";
    case verdict::base_unknown:
        return "base-unknown";
    case verdict::tree_invalid:
        return "tree-invalid";
    case verdict::no_effect:
        return "no-effect";
    case verdict::malformed:
        return "malformed";
    case verdict::from_future:
        return "from-future";
    case verdict::oversized:
        return "oversized";
    }
    return "unknown";
}

folded_state::folded_state() = default;

absl::StatusOr<folded_state> folded_state::from_snapshot(const wire::configuration_snapshot& taken)
{
    folded_state state;
    state.next = taken.next_offset;
    state.last_accepted = taken.revision;
    state.oldest_base = taken.oldest_base;
    for (const auto& each : taken.settings) {
        state.keys.insert_or_assign(each.path, each.value);
    }
    if (taken.revision > taken.next_offset || !check(state.keys).empty()) {
        return make_status(failure::record_malformed, "the snapshot holds no valid tree");
    }
    state.changes = taken.recent;
    state.refused_ids = taken.refused;
    for (const auto& each : state.changes) {
        state.change_bytes += size_of_change(each);
    }
    if (state.last_accepted > 0) {
        state.inherited = make_effective(state.keys, state.last_accepted);
    }
    return state;
}

fold_outcome folded_state::apply(std::string_view bytes)
{
    const auto offset = this->next++;
    if (bytes.empty()) {
        return {};
    }
    const auto body = wire::decode_record(bytes);
    if (!body.ok()) {
        fold_outcome skipped;
        skipped.made = verdict_of(body.status());
        return skipped;
    }
    if (const auto* change = std::get_if<wire::configuration_change>(&*body)) {
        return this->apply_change(offset, *change);
    }
    fold_outcome passed;
    passed.snapshot_next = std::get<wire::configuration_snapshot>(*body).next_offset;
    return passed;
}

bool folded_state::was_judged(const std::string& id) const
{
    return std::find(this->refused_ids.begin(), this->refused_ids.end(), id) !=
               this->refused_ids.end() ||
           std::any_of(this->changes.begin(), this->changes.end(),
                       [&id](const auto& each) { return each.id == id; });
}

verdict folded_state::judge_base(const wire::configuration_change& change) const
{
    if (!is_well_formed(change)) {
        return verdict::malformed;
    }
    if (this->was_judged(change.id)) {
        return verdict::repeated;
    }
    if (change.base < this->oldest_base) {
        return verdict::base_forgotten;
    }
    return change.base > this->last_accepted ? verdict::base_unknown : verdict::accepted;
}

std::vector<wire::accepted_change> folded_state::accepted_after(std::uint64_t base) const
{
    std::vector<wire::accepted_change> after;
    for (const auto& each : this->changes) {
        if (each.revision > base) {
            after.push_back(each);
        }
    }
    return after;
}

std::vector<wire::setting_path>
folded_state::conflicts_of(const wire::configuration_change& change) const
{
    std::vector<wire::setting_path> found;
    const auto after = this->accepted_after(change.base);
    for (const auto& edit : change.edits) {
        const auto touches = [&edit](const wire::accepted_change& each) {
            return std::any_of(each.steps.begin(), each.steps.end(),
                               [&edit](const auto& step) { return step.path == edit.path; });
        };
        // Who asks for what is there already has nothing to lose.
        if (value_at(this->keys, edit.path) != edit.value &&
            std::any_of(after.begin(), after.end(), touches)) {
            found.push_back(edit.path);
        }
    }
    return found;
}

fold_outcome folded_state::apply_change(std::uint64_t offset,
                                        const wire::configuration_change& change)
{
    auto outcome = this->judge(offset, change);
    const bool refused = outcome.made != verdict::accepted && outcome.made != verdict::repeated &&
                         outcome.made != verdict::malformed;
    if (refused) {
        this->refused_ids.push_back(change.id);
        if (this->refused_ids.size() > max_recent_changes) {
            this->refused_ids.erase(this->refused_ids.begin());
        }
    }
    return outcome;
}

fold_outcome folded_state::judge(std::uint64_t offset, const wire::configuration_change& change)
{
    fold_outcome outcome{this->judge_base(change), change.id, change.author, {}, {}, {}, {}};
    if (outcome.made != verdict::accepted) {
        return outcome;
    }
    outcome.conflicts = this->conflicts_of(change);
    auto changed = this->keys;
    apply_edits(changed, change.edits);
    if (outcome.conflicts.empty()) {
        outcome.problems = check(changed);
    }
    if (outcome.conflicts.empty() && outcome.problems.empty()) {
        this->accept(offset, change, std::move(changed));
        return outcome;
    }
    // The author checked the change against its base, so a problem comes from what changed since.
    const bool others_changed = change.base < this->last_accepted;
    outcome.made = others_changed ? verdict::conflict : verdict::tree_invalid;
    outcome.meanwhile = this->accepted_after(change.base);
    return outcome;
}

void folded_state::accept(std::uint64_t offset, const wire::configuration_change& change,
                          tree changed)
{
    this->last_accepted = offset + 1;
    this->changes.push_back(accepted_from(change, this->last_accepted, this->keys));
    this->change_bytes += size_of_change(this->changes.back());
    this->keys = std::move(changed);
    std::vector<wire::setting_path> paths;
    for (const auto& edit : change.edits) {
        paths.push_back(edit.path);
    }
    this->inherited =
        this->inherited ? remake_effective(*this->inherited, this->keys, this->last_accepted, paths)
                        : make_effective(this->keys, this->last_accepted);
    this->forget_old_changes();
}

void folded_state::forget_old_changes()
{
    if (this->changes.size() > max_recent_changes) {
        this->oldest_base = std::max(this->oldest_base, this->changes.front().revision);
        this->change_bytes -= size_of_change(this->changes.front());
        this->changes.erase(this->changes.begin());
    }
    // The id stays, so that a repeated change is known as such.
    for (auto& each : this->changes) {
        if (this->change_bytes <= max_recent_bytes) {
            break;
        }
        if (!each.steps.empty()) {
            this->change_bytes -= size_of_steps(each);
            this->oldest_base = std::max(this->oldest_base, each.revision);
            each.steps.clear();
        }
    }
}

absl::StatusOr<tree> folded_state::settings_at(std::uint64_t revision) const
{
    if (revision < this->oldest_base || revision > this->last_accepted) {
        return make_status(failure::revision_conflict, "the tree of that revision is not known");
    }
    auto settings = this->keys;
    for (auto i = this->changes.size(); i > 0 && this->changes[i - 1].revision > revision; --i) {
        const auto& steps = this->changes[i - 1].steps;
        for (auto j = steps.size(); j > 0; --j) {
            apply_edits(settings, {{steps[j - 1].path, steps[j - 1].before}});
        }
    }
    return settings;
}

wire::configuration_snapshot folded_state::snapshot() const
{
    wire::configuration_snapshot taken{this->next, this->last_accepted, this->oldest_base,
                                       {},         this->changes,       this->refused_ids};
    taken.settings.reserve(this->keys.size());
    for (const auto& [path, value] : this->keys) {
        taken.settings.push_back({path, value});
    }
    return taken;
}

std::vector<wire::setting_edit> difference(const tree& from, const tree& to)
{
    std::vector<wire::setting_edit> edits;
    for (const auto& [path, value] : from) {
        if (!to.contains(path)) {
            edits.push_back({path, std::nullopt});
        }
    }
    for (const auto& [path, value] : to) {
        if (value_at(from, path) != std::optional(value)) {
            edits.push_back({path, value});
        }
    }
    std::sort(edits.begin(), edits.end(),
              [](const auto& a, const auto& b) { return a.path < b.path; });
    return edits;
}

void apply_edits(tree& settings, const std::vector<wire::setting_edit>& edits)
{
    for (const auto& edit : edits) {
        if (edit.value) {
            settings.insert_or_assign(edit.path, *edit.value);
        }
        else {
            settings.erase(edit.path);
        }
    }
}

} // namespace azureshore::configuration
