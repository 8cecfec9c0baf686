#include "support/request_forms.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <numeric>
#include <utility>

namespace azureshore::test_support {

namespace {

struct field_line {
    std::string name{};
    std::string before = " ";
    std::string value{};
    std::string after{};
};

// What a request consists of before it is written.
struct draft {
    std::string empty_lines;
    std::string method = "GET";
    std::string path_and_query;
    // Scheme and authority of a target that is a whole URI.
    std::string origin;
    field_line host;
    std::vector<field_line> fields;
    bool fills_header = false;

    std::size_t body_bytes = 0;
    // Writes the body and adds the fields that frame it; empty without a body.
    std::function<std::string(draft&, const std::string& body)> framing;
    bool expects_continue = false;
    bool keep_alive = true;
};

struct variation {
    std::string name{};
    std::function<void(draft&, const form_frame&)> apply;
};

// Variations of one kind exclude each other.
using variation_kind = std::vector<variation>;

std::string body_of(std::size_t bytes)
{
    std::string body(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i) {
        body[i] = static_cast<char>(i * 131 + i / 251);
    }
    return body;
}

std::string hexadecimal(std::size_t number, const char* format)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), format, number);
    return text.data();
}

struct chunk_style {
    std::size_t chunk_bytes = 16;
    const char* size_format = "%zx";
    std::string extension{};
    std::string last = "0";
    std::string trailers{};
    field_line coding{"Transfer-Encoding", " ", "chunked", ""};
};

std::string in_chunks(const std::string& body, const chunk_style& style)
{
    std::string bytes;
    for (std::size_t at = 0; at < body.size(); at += style.chunk_bytes) {
        const auto chunk = body.substr(at, style.chunk_bytes);
        bytes += hexadecimal(chunk.size(), style.size_format) + style.extension + "\r\n" + chunk +
                 "\r\n";
    }
    return bytes + style.last + style.extension + "\r\n" + style.trailers + "\r\n";
}

variation chunked(std::string name, std::size_t body_bytes, chunk_style style)
{
    return {std::move(name), [body_bytes, style = std::move(style)](draft& to, const form_frame&) {
                to.method = "POST";
                to.body_bytes = body_bytes;
                to.framing = [style](draft& of, const std::string& body) {
                    of.fields.push_back(style.coding);
                    return in_chunks(body, style);
                };
            }};
}

variation sized(std::string name, std::size_t body_bytes, field_line line = {"Content-Length"},
                const char* format = "%zu")
{
    return {std::move(name),
            [body_bytes, line = std::move(line), format](draft& to, const form_frame&) {
                to.method = "POST";
                to.body_bytes = body_bytes;
                to.framing = [line, format](draft& of, const std::string& body) {
                    auto length = line;
                    length.value = hexadecimal(body.size(), format);
                    of.fields.push_back(length);
                    return body;
                };
            }};
}

variation with_whole_body(const variation& of)
{
    return {of.name, [apply = of.apply](draft& to, const form_frame& frame) {
                apply(to, frame);
                to.body_bytes = frame.max_body_bytes;
            }};
}

variation with_expectation(const variation& of, std::string value)
{
    return {of.name + " after 100-continue",
            [apply = of.apply, value = std::move(value)](draft& to, const form_frame& frame) {
                apply(to, frame);
                to.fields.push_back({"Expect", " ", value, ""});
                to.expects_continue = true;
            }};
}

variation_kind bodies()
{
    variation_kind all{
        {"no body",
         [](draft&, const form_frame&) {
         }},
        sized("a length of zero", 0),
        sized("a short body", 5),
        sized("a length with leading zeros", 17, {"Content-Length"}, "%012zu"),
        sized("a length with white space around", 17, {"content-length", " \t ", "", " \t"}),
        sized("a length without white space", 17, {"CONTENT-LENGTH", "", "", ""}),
        with_whole_body(sized("the longest body with a length", 0)),
        with_expectation(sized("a length", 9), "100-continue"),
        with_expectation(sized("a length (other case)", 9), "100-Continue"),
        chunked("no chunk but the last", 0, {}),
        chunked("short chunks", 100, {}),
        chunked("chunks of one byte", 300, {.chunk_bytes = 1}),
        chunked("one large chunk", 50'000, {.chunk_bytes = 50'000}),
        chunked("sizes in upper case", 200, {.chunk_bytes = 175, .size_format = "%zX"}),
        chunked("sizes in lower case", 200, {.chunk_bytes = 175, .size_format = "%zx"}),
        chunked("sizes with leading zeros", 60, {.size_format = "%012zx", .last = "0000"}),
        chunked("chunk extensions", 60, {.extension = ";a;b=c;d=\"e;f\\\" g\""}),
        chunked("long chunk extensions", 60, {.extension = ";a=" + std::string(3000, 'x')}),
        chunked("trailers", 60, {.trailers = "X-Sum: 1\r\nX-Empty:\r\nX-Other: \t2 \r\n"}),
        chunked("long trailers", 60, {.trailers = "X-Sum: " + std::string(9000, 'x') + "\r\n"}),
        chunked("a coding in mixed case", 60, {.coding = {"tRANSFER-eNCODING", "", "cHuNkEd", ""}}),
        chunked("a coding with white space around", 60,
                {.coding = {"Transfer-Encoding", "\t ", "chunked", " "}}),
        chunked("a coding with a tab after", 60,
                {.coding = {"Transfer-Encoding", " ", "chunked", "\t"}}),
        with_whole_body(chunked("the longest body in chunks", 0, {.chunk_bytes = 1021})),
        with_whole_body(chunked("the longest body in chunks of one byte", 0, {.chunk_bytes = 1})),
        with_expectation(chunked("chunks", 90, {}), "100-continue"),
    };
    return all;
}

variation_kind methods()
{
    variation_kind all{{"the usual method", [](draft&, const form_frame&) {
                        }}};
    for (const std::string method : {"GET", "HEAD", "DELETE", "OPTIONS", "PATCH", "PUT", "POST",
                                     "PROPFIND", "QUERY", "get", "!#$%&'*+-.^_`|~09azAZ"}) {
        all.push_back({method, [method](draft& to, const form_frame&) {
                           to.method = method;
                       }});
    }
    return all;
}

variation path(std::string name, std::string rest)
{
    return {std::move(name), [rest = std::move(rest)](draft& to, const form_frame&) {
                to.path_and_query += rest;
            }};
}

variation whole_uri(std::string name, std::string origin, std::string rest)
{
    return {std::move(name),
            [origin = std::move(origin), rest = std::move(rest)](draft& to, const form_frame&) {
                to.origin = origin;
                to.path_and_query += rest;
            }};
}

variation_kind targets()
{
    return {
        path("a path", "17"),
        path("a path that ends with a slash", "17/"),
        path("a query", "17?a=b&c=d"),
        path("an empty query", "17?"),
        path("a query with every allowed character", "?/?:@-._~!$&'()*+,;=%20%fF"),
        path("a path with every allowed character", "aZ09-._~%2f%2F%00!$&'()*+,;=:@/x"),
        path("empty segments and dots", "a//b/./../c/"),
        path("a long path", std::string(6000, 'p')),
        path("a long query", "1?" + std::string(6000, 'q')),
        whole_uri("a whole URI", "http://a.example", "17"),
        whole_uri("a whole URI with a port and a query", "http://a.example:8080", "17?a=http://b"),
        whole_uri("a whole URI in upper case", "HTTP://A.EXAMPLE", "17"),
        whole_uri("a whole URI with https", "https://a.example", "17?"),
    };
}

variation host_line(std::string name, field_line line)
{
    return {std::move(name), [line = std::move(line)](draft& to, const form_frame&) {
                to.host = line;
            }};
}

variation_kind hosts()
{
    return {
        {"a host",
         [](draft&, const form_frame&) {
         }},
        host_line("a host with a port", {"Host", " ", "a.example:8080", ""}),
        host_line("a host with an empty port", {"Host", " ", "a.example:", ""}),
        host_line("a host in upper case", {"HOST", " ", "A.EXAMPLE", ""}),
        host_line("a host with white space after", {"hOST", "\t", "a.example", " \t"}),
        host_line("a host without white space", {"host", "", "a.example", ""}),
    };
}

variation with_fields(std::string name, std::vector<field_line> lines)
{
    return {std::move(name), [lines = std::move(lines)](draft& to, const form_frame&) {
                to.fields.insert(to.fields.end(), lines.begin(), lines.end());
            }};
}

std::vector<field_line> many_fields(std::size_t count)
{
    std::vector<field_line> lines(count);
    for (std::size_t i = 0; i < count; ++i) {
        lines[i] = {"x" + std::to_string(i), "", "", ""};
    }
    return lines;
}

variation_kind other_fields()
{
    return {
        {"no other field",
         [](draft&, const form_frame&) {
         }},
        with_fields(
            "names in any case",
            {{"x-lower", " ", "1", ""}, {"X-UPPER", " ", "2", ""}, {"x-MiXeD", " ", "3", ""}}),
        with_fields("a name with every allowed character",
                    {{"!#$%&'*+-.^_`|~09azAZ", " ", "1", ""}}),
        with_fields("a value with every allowed character",
                    {{"X-All", " ", "!\"#$%&'()*+,-./09:;<=>?@AZ[\\]^_`az{|}~ \t\x80\xff", ""}}),
        with_fields("white space around values", {{"X-A", "", "1", " "},
                                                  {"X-B", "\t", "2 \t 3", "\t"},
                                                  {"X-C", "   \t  ", "4", "  \t "}}),
        with_fields("empty values", {{"X-A", "", "", ""},
                                     {"X-B", " ", "", ""},
                                     {"X-C", " \t ", "", ""},
                                     {"X-D", "", "1", ""}}),
        with_fields("the same name several times",
                    {{"X-A", " ", "1", ""}, {"x-a", " ", "2", ""}, {"X-A", " ", "1", ""}}),
        with_fields("the longest of values", {{"X-Long", " ", std::string(6000, 'v'), ""}}),
        with_fields("the longest of names", {{std::string(6000, 'n'), " ", "1", ""}}),
        with_fields("201 fields", many_fields(201)),
        with_fields("900 fields", many_fields(900)),
        {"a head of exactly the limit",
         [](draft& to, const form_frame&) {
             to.fills_header = true;
         }},
    };
}

variation_kind connections()
{
    return {
        {"nothing about the connection",
         [](draft&, const form_frame&) {
         }},
        with_fields("keep-alive", {{"Connection", " ", "keep-alive", ""}}),
        with_fields("Keep-Alive", {{"connection", "", "Keep-Alive", " "}}),
        with_fields("options of the connection",
                    {{"Connection", " ", "X-Hop , keep-alive", ""}, {"X-Hop", " ", "1", ""}}),
        with_fields("an upgrade that is not taken",
                    {{"Connection", " ", "Upgrade", ""}, {"Upgrade", " ", "websocket", ""}}),
        with_fields("trailer codings",
                    {{"Connection", " ", "TE", ""}, {"TE", " ", "trailers", ""}}),
    };
}

variation_kind beginnings()
{
    return {
        {"no empty line",
         [](draft&, const form_frame&) {
         }},
        {"an empty line",
         [](draft& to, const form_frame&) {
             to.empty_lines = "\r\n";
         }},
        {"two empty lines",
         [](draft& to, const form_frame&) {
             to.empty_lines = "\r\n\r\n";
         }},
    };
}

// The body's kind sets a usual method, which the method's kind may replace.
const std::vector<variation_kind>& kinds()
{
    static const std::vector<variation_kind> made{
        bodies(), methods(), targets(), hosts(), other_fields(), connections(), beginnings()};
    return made;
}

draft plain_draft(const form_frame& frame)
{
    draft made;
    made.path_and_query = frame.path_prefix;
    made.host = {"Host", " ", frame.host, ""};
    for (const auto& each : frame.fields) {
        made.fields.push_back({each.name, " ", each.value, ""});
    }
    return made;
}

std::string line_text(const field_line& line)
{
    return line.name + ":" + line.before + line.value + line.after + "\r\n";
}

request_form written(draft from, const form_frame& frame, std::string name)
{
    request_form form;
    form.name = std::move(name);
    form.meaning.method = from.method;
    form.meaning.target = from.origin + from.path_and_query;
    form.meaning.body = body_of(from.body_bytes);
    form.meaning.keep_alive = from.keep_alive;
    form.path_and_query = from.path_and_query;
    form.expects_continue = from.expects_continue;

    const auto body = from.framing ? from.framing(from, form.meaning.body) : "";
    std::vector<field_line> lines{from.host};
    lines.insert(lines.end(), from.fields.begin(), from.fields.end());
    const auto start = form.meaning.method + " " + form.meaning.target + " HTTP/1.1\r\n";
    const auto used = std::accumulate(
        lines.begin(), lines.end(), start.size(),
        [](std::size_t sum, const field_line& each) { return sum + line_text(each).size(); });
    const field_line filler{"X-Fill", " ", "", ""};
    if (from.fills_header) {
        lines.push_back(filler);
        lines.back().value.assign(frame.max_header_bytes - used - line_text(filler).size(), 'f');
    }

    auto head = start;
    for (const auto& each : lines) {
        head += line_text(each);
        form.meaning.fields.push_back({each.name, each.value});
    }
    form.header_bytes = head.size();
    form.bytes = from.empty_lines + head + "\r\n";
    form.body_at = form.bytes.size();
    form.bytes += body;
    return form;
}

} // namespace

std::vector<request_form> single_forms(const form_frame& frame)
{
    std::vector<request_form> forms{written(plain_draft(frame), frame, "a plain request")};
    for (const auto& kind : kinds()) {
        for (const auto& each : kind) {
            auto made = plain_draft(frame);
            each.apply(made, frame);
            forms.push_back(written(std::move(made), frame, each.name));
        }
    }
    return forms;
}

request_form random_form(const form_frame& frame, const random_source& random)
{
    for (;;) {
        auto made = plain_draft(frame);
        std::string name;
        for (const auto& kind : kinds()) {
            const auto& each = kind[uniform_index(random, kind.size())];
            each.apply(made, frame);
            name += (name.empty() ? "" : ", ") + each.name;
        }
        made.fills_header = made.fills_header && made.path_and_query.size() < 1000;
        auto form = written(std::move(made), frame, name);
        if (form.header_bytes <= frame.max_header_bytes) {
            return form;
        }
    }
}

} // namespace azureshore::test_support
