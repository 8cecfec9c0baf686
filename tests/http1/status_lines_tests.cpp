#include "azureshore/core/random.hpp"
#include "azureshore/http1/message_reader.hpp"
#include "support/environment.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <array>
#include <string>

using namespace azureshore;
using namespace azureshore::http1;

namespace {

constexpr int most_interim_answers = 8;

// What the bytes of a connection mean, by the grammar of RFC 9112, sections 4 and 6.3.
struct meaning {
    read_state state = read_state::need_more;
    int status = 0;
    std::string body;

    bool operator==(const meaning&) const = default;
};

std::string text_of(const meaning& of)
{
    constexpr std::array names{"incomplete", "complete", "malformed", "header too large",
                               "body too large"};
    return std::string(names.at(static_cast<std::size_t>(of.state))) + ' ' +
           std::to_string(of.status) + " '" + of.body + "'";
}

// Nobody here asks for another protocol, so that 101 answers no request.
bool is_status_line(const std::string& line)
{
    const auto version = line.substr(0, 9);
    const auto digits = line.substr(std::min<std::size_t>(9, line.size()), 3);
    const auto rest = line.substr(std::min<std::size_t>(12, line.size()));
    return (version == "HTTP/1.0 " || version == "HTTP/1.1 ") && digits.size() == 3 &&
           digits.find_first_not_of("0123456789") == std::string::npos && digits >= "100" &&
           digits <= "599" && digits != "101" && (rest.empty() || rest.front() == ' ') &&
           rest.find_first_of("\r\n") == std::string::npos;
}

// Whether bytes can go on to be a status line.
bool begins_status_line(const std::string& bytes)
{
    const std::string last = bytes.ends_with('\r') ? bytes.substr(0, bytes.size() - 1) : bytes;
    for (const std::string rest : {"HTTP/1.1 200 ", "HTTP/1.1 102 "}) {
        if (is_status_line(last) || (last == bytes && last.size() < rest.size() &&
                                     is_status_line(last + rest.substr(last.size())))) {
            return true;
        }
    }
    return false;
}

meaning meaning_of(std::string bytes)
{
    for (int interim = 0;; ++interim) {
        const auto line_end = bytes.find('\n');
        if (line_end == std::string::npos) {
            return {begins_status_line(bytes) ? read_state::need_more : read_state::malformed, 0,
                    ""};
        }
        auto line = bytes.substr(0, line_end);
        if (line.ends_with('\r')) {
            line.pop_back();
        }
        if (!is_status_line(line)) {
            return {read_state::malformed, 0, ""};
        }
        const auto status = std::stoi(line.substr(9, 3));
        const auto head_end = bytes.find("\r\n\r\n", line_end - 1);
        if (head_end == std::string::npos) {
            return {};
        }
        const auto head = bytes.substr(0, head_end + 2);
        bytes.erase(0, head_end + 4);
        if (status < 200) {
            // Such an answer has no length (RFC 9110, section 8.6).
            if (interim == most_interim_answers ||
                head.find("Content-Length") != std::string::npos) {
                return {read_state::malformed, 0, ""};
            }
            continue;
        }
        std::size_t size = 0;
        if (status != 204 && status != 304) {
            constexpr std::string_view length = "Content-Length: ";
            const auto field = head.find(length);
            if (field == std::string::npos) {
                // The body lasts until the connection ends.
                return {};
            }
            size = std::stoul(head.substr(field + length.size()));
        }
        if (bytes.size() < size) {
            return {};
        }
        return {read_state::complete, status, bytes.substr(0, size)};
    }
}

template <std::size_t count>
std::string one_of(const std::array<std::string, count>& choices, const random_source& random)
{
    return choices.at(uniform_index(random, count));
}

std::string random_status_line(const random_source& random)
{
    static const std::array<std::string, 10> versions{
        "HTTP/1.1",  "HTTP/1.0",  "HTTP/1.2", "HTTP/2.0", "http/1.1",
        "HTTP/1.11", "HTTP/01.1", "HTTP/1",   "",         "\r\nHTTP/1.1"};
    static const std::array<std::string, 4> gaps{"  ", "\t", "", " 0"};
    static const std::array<std::string, 6> ends{" OK\r\n", "\r\n",     " \r\n",
                                                 "x\r\n",   "\tOK\r\n", " OK\n"};
    const bool tame = uniform_index(random, 2) == 0;
    const auto odd = [&] {
        return !tame && uniform_index(random, 4) == 0;
    };
    auto line = odd() ? one_of(versions, random) : versions.front();
    line += odd() ? one_of(gaps, random) : " ";
    line += std::to_string(odd() ? uniform_index(random, 1100) : 100 + uniform_index(random, 500));
    line += odd() ? one_of(ends, random) : ends.front();
    if (odd()) {
        const auto byte = static_cast<char>(uniform_index(random, 256));
        line[uniform_index(random, line.size() - 2)] = byte == '\n' ? 'n' : byte;
    }
    return line;
}

std::string random_answer(const random_source& random)
{
    std::string bytes;
    for (auto interim = uniform_index(random, 11); interim > 0; --interim) {
        const auto line =
            uniform_index(random, 30) == 0
                ? random_status_line(random)
                : "HTTP/1.1 " + std::to_string(102 + uniform_index(random, 98)) + " Wait\r\n";
        bytes += line + "X-Interim: 1\r\n" +
                 (uniform_index(random, 30) == 0 ? "Content-Length: 2\r\n\r\n" : "\r\n");
    }
    const auto size = uniform_index(random, 5);
    return bytes + random_status_line(random) + "Content-Length: " + std::to_string(size) +
           "\r\n\r\n" + std::string(size, 'b');
}

meaning read(const std::string& bytes, const random_source& random)
{
    message_reader reader(message_kind::response, {});
    std::size_t at = 0;
    while (at < bytes.size() && reader.state() == read_state::need_more) {
        const auto step = 1 + uniform_index(random, 40);
        at += reader.feed(std::string_view(bytes).substr(at, step));
    }
    meaning found;
    found.state = reader.state();
    if (found.state == read_state::complete) {
        auto taken = reader.take_response();
        found.status = taken.status;
        found.body = std::move(taken.body);
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(status_lines)

// Guards against bytes that are no status line and pass for an answer, or keep a request waiting.
BOOST_AUTO_TEST_CASE(a_status_that_is_none_is_malformed_as_soon_as_it_shows)
{
    for (const std::string line : {"HTTP/1.1 0", "HTTP/1.1 20 ", "HTTP/1.1 20\r", "HTTP/1.1 101",
                                   "HTTP/1.1 6", "HTTP/1.1 2000", "HTTP/1.1 200 O\rK", "HTTP/1.1  ",
                                   "HTTP/1.1 199x", "HTTP/1.2", "HTTP/2", "h", "\r"}) {
        message_reader reader(message_kind::response, {});
        reader.feed(line);
        BOOST_TEST((reader.state() == read_state::malformed), line);
    }
}

// Guards against a connection that waits for a body which never comes.
BOOST_AUTO_TEST_CASE(answers_that_have_no_body_by_their_status_have_none)
{
    for (const std::string status : {"204 No Content", "304 Not Modified"}) {
        const auto bytes = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 " + status +
                           "\r\nContent-Length: 500\r\n\r\n";
        BOOST_TEST(text_of(read(bytes, seeded_random(1))) ==
                   "complete " + status.substr(0, 3) + " ''");
    }
}

// Guards against an interim answer whose body would stand before that of the answer, and one that
// is a whole answer but for its status and lets a request wait for another.
BOOST_AUTO_TEST_CASE(an_interim_answer_with_a_body_is_malformed)
{
    for (const std::string field :
         {"Content-Length: 0", "Content-Length: 2", "Transfer-Encoding: chunked"}) {
        message_reader reader(message_kind::response, {});
        reader.feed("HTTP/1.1 199 Odd\r\n" + field + "\r\n\r\n");
        BOOST_TEST((reader.state() == read_state::malformed), field);
    }
}

// Guards against bytes that are checked twice where a read ends inside the line.
BOOST_AUTO_TEST_CASE(a_status_line_is_the_same_however_its_bytes_are_cut)
{
    const std::string bytes = "HTTP/1.1 254 O\t\t K\r\nContent-Length: 1\r\n\r\nb";
    for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
        message_reader reader(message_kind::response, {});
        reader.feed(std::string_view(bytes).substr(0, cut));
        reader.feed(std::string_view(bytes).substr(cut));
        BOOST_TEST((reader.state() == read_state::complete), cut);
    }
}

// Guards against any difference between the reader and the grammar.
BOOST_AUTO_TEST_CASE(random_answers_are_read_as_the_grammar_says)
{
    const auto count = test_support::number_from("AZURESHORE_SCHEDULES", 20'000);
    const auto first = test_support::number_from("AZURESHORE_SEED", 1);
    std::size_t complete = 0;
    for (auto seed = first; seed < first + count; ++seed) {
        const auto random = seeded_random(seed);
        auto bytes = random_answer(random);
        if (uniform_index(random, 4) == 0) {
            bytes.resize(uniform_index(random, bytes.size()));
        }
        const auto meant = meaning_of(bytes);
        const auto found = read(bytes, random);
        complete += meant.state == read_state::complete ? 1 : 0;
        BOOST_REQUIRE_MESSAGE(
            found == meant, "AZURESHORE_SEED=" << seed << ": read " << text_of(found) << ", meant "
                                               << text_of(meant) << " by " << bytes);
    }
    BOOST_TEST((complete > count / 20 || count < 1000));
}

BOOST_AUTO_TEST_SUITE_END()
