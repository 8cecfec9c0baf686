#include "azureshorectl/commands/tree_file.hpp"

#include "azureshore/configuration/tree_text.hpp"
#include "azureshore/core/failure.hpp"
#include "azureshorectl/commands/print.hpp"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/strip.h>

#include <ostream>
#include <string_view>

namespace azureshore::ctl {

namespace {

constexpr std::string_view revision_mark = "# azureshore revision ";

std::optional<std::uint64_t> revision_in(std::string_view text)
{
    if (!text.starts_with(revision_mark)) {
        return std::nullopt;
    }
    text.remove_prefix(revision_mark.size());
    std::uint64_t revision = 0;
    const auto digits = text.substr(0, text.find_first_not_of("0123456789"));
    return absl::SimpleAtoi(absl::string_view(digits.data(), digits.size()), &revision)
               ? std::optional(revision)
               : std::nullopt;
}

} // namespace

std::string revision_line(std::uint64_t revision)
{
    return absl::StrCat(std::string(revision_mark), revision, "\n");
}

absl::StatusOr<tree_file> read_tree_file(environment& world, const std::string& path)
{
    const auto text = world.read_file(path);
    if (!text.ok()) {
        *world.err << path << ": " << text.status().message() << '\n';
        return text.status();
    }
    auto parsed = configuration::read_tree(*text);
    if (!parsed.problems.empty()) {
        *world.err << to_lines(parsed.problems, path);
        return make_status(failure::tree_invalid, "the tree has problems");
    }
    return tree_file{std::move(parsed.settings), revision_in(*text)};
}

absl::StatusOr<file_change> compare(const options& given, const tree_file& file,
                                    const configuration::folded_state& state)
{
    const auto base = given.base.value_or(file.revision.value_or(state.revision()));
    const auto seen = state.settings_at(base);
    if (!seen.ok()) {
        return seen.status();
    }
    return file_change{base, configuration::difference(*seen, file.settings)};
}

} // namespace azureshore::ctl
