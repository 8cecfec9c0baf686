#include "azureshore/http1/message_reader.hpp"
#include "support/environment.hpp"
#include "support/request_forms.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <numeric>

using namespace azureshore;
using namespace azureshore::http1;
using namespace azureshore::test_support;

namespace {

constexpr std::size_t short_form_bytes = 400;

reader_limits limits_of(const form_frame& frame)
{
    return {frame.max_header_bytes, frame.max_body_bytes};
}

std::string fields_text(const std::vector<net::field>& fields)
{
    return std::accumulate(fields.begin(), fields.end(), std::string(),
                           [](std::string text, const net::field& each) {
                               return std::move(text) + "[" + each.name + "=" + each.value + "]";
                           });
}

// Says in what a request differs from what its bytes mean; empty if in nothing.
std::string difference(const request& read, const request& meant)
{
    if (read.method != meant.method) {
        return "method " + read.method;
    }
    if (read.target != meant.target) {
        return "target " + read.target;
    }
    if (fields_text(read.fields) != fields_text(meant.fields)) {
        return "fields " + fields_text(read.fields).substr(0, 500);
    }
    if (read.body != meant.body) {
        return "a body of " + std::to_string(read.body.size()) + " bytes";
    }
    return read.keep_alive == meant.keep_alive ? "" : "keep_alive";
}

std::string state_text(read_state state)
{
    switch (state) {
    case read_state::need_more:
        return "incomplete";
    case read_state::complete:
        return "complete";
    case read_state::malformed:
        return "malformed";
    case read_state::header_too_large:
        return "header too large";
    case read_state::body_too_large:
        return "body too large";
    case read_state::no_memory:
        return "no memory";
    }
    return "";
}

// Feeds bytes in the parts that end at the cuts, as a connection does: what a part leaves is fed
// again. Says what is wrong with the requests read; empty if they are those meant.
std::string wrong_with(const std::vector<request_form>& forms, std::vector<std::size_t> cuts,
                       reader_limits limits)
{
    std::string bytes;
    for (const auto& each : forms) {
        bytes += each.bytes;
    }
    cuts.push_back(bytes.size());
    message_reader reader(message_kind::request, limits);
    std::size_t next = 0;
    std::size_t at = 0;
    for (const auto cut : cuts) {
        while (at < cut) {
            const auto used = reader.feed(std::string_view(bytes).substr(at, cut - at));
            at += used;
            if (reader.state() != read_state::need_more) {
                if (reader.state() != read_state::complete) {
                    return state_text(reader.state());
                }
                auto wrong = difference(reader.take_request(), forms.at(next++).meaning);
                if (!wrong.empty()) {
                    return wrong;
                }
            }
            else if (at < cut) {
                return "bytes left before the request is complete";
            }
        }
    }
    return next == forms.size() ? "" : "incomplete";
}

std::vector<std::size_t> every_byte(std::size_t bytes)
{
    std::vector<std::size_t> cuts(bytes - 1);
    std::iota(cuts.begin(), cuts.end(), 1);
    return cuts;
}

std::vector<std::size_t> random_cuts(std::size_t bytes, const random_source& random)
{
    std::vector<std::size_t> cuts(1 + uniform_index(random, 20));
    std::generate(cuts.begin(), cuts.end(), [&] { return 1 + uniform_index(random, bytes - 1); });
    std::sort(cuts.begin(), cuts.end());
    return cuts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(allowed_forms)

// Guards against a proper request that is refused, or read as another one, for its form.
BOOST_AUTO_TEST_CASE(each_allowed_form_of_a_request_is_read_whole)
{
    const form_frame frame;
    for (const auto& form : single_forms(frame)) {
        BOOST_TEST_CONTEXT(form.name)
        BOOST_TEST(wrong_with({form}, {}, limits_of(frame)) == "");
    }
}

// Guards against a form that is refused or misread where it is cut into segments.
BOOST_AUTO_TEST_CASE(each_allowed_form_is_read_whole_wherever_it_is_cut)
{
    const form_frame frame;
    auto random = seeded_random(1);
    for (const auto& form : single_forms(frame)) {
        BOOST_TEST_CONTEXT(form.name)
        {
            BOOST_TEST(wrong_with({form}, every_byte(form.bytes.size()), limits_of(frame)) == "",
                       "cut at every byte");
            const bool is_short = form.bytes.size() <= short_form_bytes;
            const auto trials = is_short ? form.bytes.size() - 1 : 20;
            for (std::size_t i = 1; i <= trials; ++i) {
                const auto cuts =
                    is_short ? std::vector{i} : random_cuts(form.bytes.size(), random);
                const auto wrong = wrong_with({form}, cuts, limits_of(frame));
                BOOST_TEST(wrong == "", wrong << ", first cut at " << cuts.front());
            }
        }
    }
}

// Guards against forms that are refused or misread only together, or behind one another.
// AZURESHORE_SCHEDULES sets how many; AZURESHORE_SEED runs that one alone.
BOOST_AUTO_TEST_CASE(allowed_forms_in_random_combinations_are_read_whole_one_after_the_other)
{
    const form_frame frame;
    const auto only = number_from("AZURESHORE_SEED", 0);
    const auto first = only > 0 ? only : 1;
    const auto count = only > 0 ? 1 : number_from("AZURESHORE_SCHEDULES", 300);
    for (auto seed = first; seed < first + count; ++seed) {
        auto random = seeded_random(seed);
        std::vector<request_form> forms;
        std::size_t bytes = 0;
        std::string names;
        for (auto left = 1 + uniform_index(random, 4); left > 0; --left) {
            forms.push_back(random_form(frame, random));
            bytes += forms.back().bytes.size();
            names += "\n  " + forms.back().name;
        }
        const auto cuts =
            uniform_index(random, 8) == 0 ? every_byte(bytes) : random_cuts(bytes, random);
        const auto wrong = wrong_with(forms, cuts, limits_of(frame));
        BOOST_TEST(wrong == "", "AZURESHORE_SEED=" << seed << ": " << wrong << names);
    }
}

// Guards against limits that depend on how a request is cut or framed.
BOOST_AUTO_TEST_CASE(one_byte_beyond_a_limit_is_refused_wherever_the_request_is_cut)
{
    const form_frame frame;
    auto random = seeded_random(1);
    for (const auto& form : single_forms(frame)) {
        const bool longest_head = form.header_bytes == frame.max_header_bytes;
        const bool longest_body = form.meaning.body.size() == frame.max_body_bytes;
        if (!longest_head && !longest_body) {
            continue;
        }
        const reader_limits less{frame.max_header_bytes - (longest_head ? 1 : 0),
                                 frame.max_body_bytes - (longest_body ? 1 : 0)};
        const std::string expected = longest_head ? "header too large" : "body too large";
        BOOST_TEST_CONTEXT(form.name)
        {
            BOOST_TEST(wrong_with({form}, {}, less) == expected);
            BOOST_TEST(wrong_with({form}, every_byte(form.bytes.size()), less) == expected);
            for (int i = 0; i < 20; ++i) {
                BOOST_TEST(wrong_with({form}, random_cuts(form.bytes.size(), random), less) ==
                           expected);
            }
        }
    }
}

// Guards against a limit of the parser's own below that of the operators.
BOOST_AUTO_TEST_CASE(a_head_of_a_megabyte_is_read_when_its_limit_allows_it)
{
    form_frame frame;
    frame.max_header_bytes = 1024UL * 1024UL;
    for (const auto& form : single_forms(frame)) {
        BOOST_TEST_CONTEXT(form.name)
        BOOST_TEST(wrong_with({form}, {}, limits_of(frame)) == "");
    }
}

BOOST_AUTO_TEST_SUITE_END()
