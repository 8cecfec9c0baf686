#include "azureshore/net/internal/message_guard.hpp"

#include "azureshore/net/field_text.hpp"

#include <http_parser.h>

#include <algorithm>
#include <string>
#include <utility>

namespace azureshore::net::detail {

namespace {

bool is_token(std::string_view name)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return !name.empty() && std::all_of(name.begin(), name.end(), [&](char each) {
        return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
               (each >= '0' && each <= '9') || marks.find(each) != std::string_view::npos;
    });
}

} // namespace

class message_guard::state {
public:
    explicit state(std::size_t body_limit) : max_body(body_limit)
    {
        http_parser_init(&this->parser, HTTP_REQUEST);
        this->parser.data = this;
    }

    std::optional<early_refusal> read(std::string_view bytes)
    {
        const auto& calls = callbacks();
        const std::size_t read =
            http_parser_execute(&this->parser, &calls, bytes.data(), bytes.size());
        if (this->fault) {
            return this->fault;
        }
        const auto error = HTTP_PARSER_ERRNO(&this->parser);
        if (error == HPE_INVALID_METHOD) {
            return early_refusal::unknown_method;
        }
        if (error == HPE_HEADER_OVERFLOW) {
            return early_refusal::headers_too_large;
        }
        if (error != HPE_OK || read != bytes.size()) {
            return early_refusal::malformed;
        }
        return std::nullopt;
    }

    bool inside = false;
    bool wants_continue = false;

private:
    // http_parser calls these; any value but zero stops it.
    static constexpr int go_on = 0;
    static constexpr int stop = -1;

    static state& of(http_parser* from) { return *static_cast<state*>(from->data); }

    static const http_parser_settings& callbacks()
    {
        static const http_parser_settings all = [] {
            http_parser_settings to{};
            http_parser_settings_init(&to);
            to.on_message_begin = [](http_parser* from) {
                return of(from).begin();
            };
            to.on_url = [](http_parser* from, const char* at, std::size_t length) {
                return of(from).take_target({at, length});
            };
            to.on_header_field = [](http_parser* from, const char* at, std::size_t length) {
                return of(from).take_name({at, length});
            };
            to.on_header_value = [](http_parser* from, const char* at, std::size_t length) {
                return of(from).take_value({at, length});
            };
            to.on_headers_complete = [](http_parser* from) {
                return of(from).end_headers();
            };
            to.on_body = [](http_parser* from, const char*, std::size_t length) {
                return of(from).take_body(length);
            };
            to.on_message_complete = [](http_parser* from) {
                return of(from).end();
            };
            return to;
        }();
        return all;
    }

    int refuse(early_refusal why)
    {
        this->fault = why;
        return stop;
    }

    int begin()
    {
        this->inside = true;
        this->wants_continue = false;
        this->names_coding = false;
        this->names_length = false;
        this->in_value = false;
        this->target_bytes = 0;
        this->header_bytes = 0;
        this->fields = 0;
        this->body_bytes = 0;
        this->name.clear();
        this->value.clear();
        return go_on;
    }

    int take_target(std::string_view part)
    {
        this->target_bytes += part.size();
        return this->target_bytes > max_target_bytes
                   ? this->refuse(early_refusal::headers_too_large)
                   : go_on;
    }

    int take_name(std::string_view part)
    {
        if (this->in_value && this->end_field() == stop) {
            return stop;
        }
        this->name += part;
        return this->count_header(part.size());
    }

    int take_value(std::string_view part)
    {
        this->in_value = true;
        this->value += part;
        return this->count_header(part.size());
    }

    int count_header(std::size_t bytes)
    {
        this->header_bytes += bytes;
        const bool flood =
            this->header_bytes > max_header_bytes || this->fields >= max_header_fields;
        return flood ? this->refuse(early_refusal::headers_too_large) : go_on;
    }

    int end_field()
    {
        ++this->fields;
        this->in_value = false;
        const bool fine = is_token(this->name) && this->check_framing();
        this->wants_continue = this->wants_continue || (same_name(this->name, "Expect") &&
                                                        same_name(this->value, "100-continue"));
        this->name.clear();
        this->value.clear();
        return fine ? go_on : this->refuse(early_refusal::malformed);
    }

    // Refuses what two readers could frame differently: both lengths, a length given twice, and
    // codings other than chunked. Upgrades are refused as nothing here speaks another protocol.
    bool check_framing()
    {
        if (same_name(this->name, "Transfer-Encoding")) {
            const bool again = std::exchange(this->names_coding, true);
            return !again && same_name(trimmed(this->value), "chunked");
        }
        if (same_name(this->name, "Content-Length")) {
            const bool again = std::exchange(this->names_length, true);
            return !again && parse_number(trimmed(this->value)).has_value();
        }
        return !same_name(this->name, "Upgrade");
    }

    int end_headers()
    {
        if (this->in_value && this->end_field() == stop) {
            return stop;
        }
        if (this->parser.method == HTTP_CONNECT) {
            return this->refuse(early_refusal::unknown_method);
        }
        const bool spoken = this->parser.http_major == 1 && this->parser.http_minor <= 1;
        if (!spoken || (this->names_coding && this->names_length)) {
            return this->refuse(early_refusal::malformed);
        }
        const auto length = this->parser.content_length;
        const bool too_long = this->names_length && length > this->max_body;
        return too_long ? this->refuse(early_refusal::body_too_large) : go_on;
    }

    int take_body(std::size_t bytes)
    {
        this->wants_continue = false;
        this->body_bytes += bytes;
        return this->body_bytes > this->max_body ? this->refuse(early_refusal::body_too_large)
                                                 : go_on;
    }

    int end()
    {
        this->inside = false;
        this->wants_continue = false;
        return go_on;
    }

    http_parser parser{};
    const std::size_t max_body;
    std::optional<early_refusal> fault;
    bool names_coding = false;
    bool names_length = false;
    bool in_value = false;
    std::size_t target_bytes = 0;
    std::size_t header_bytes = 0;
    std::size_t fields = 0;
    std::size_t body_bytes = 0;
    std::string name;
    std::string value;
};

message_guard::message_guard(std::size_t max_body) : inner(std::make_unique<state>(max_body)) {}

message_guard::~message_guard() = default;

std::optional<early_refusal> message_guard::read(std::string_view bytes)
{
    return this->inner->read(bytes);
}

bool message_guard::inside_message() const
{
    return this->inner->inside;
}

bool message_guard::take_continue()
{
    return std::exchange(this->inner->wants_continue, false);
}

} // namespace azureshore::net::detail
