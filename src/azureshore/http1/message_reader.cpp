#include "azureshore/http1/message_reader.hpp"

#include "azureshore/http1/internal/field_rules.hpp"
#include "azureshore/net/answer_head.hpp"

#include <http_parser.h>

#include <algorithm>

namespace azureshore::http1 {

namespace {

constexpr int first_final_status = 200;
constexpr int no_content = 204;
constexpr int not_modified = 304;
// The empty line that ends a header.
constexpr std::size_t header_end_bytes = 2;
// Memory for a body of unknown length begins with this and doubles.
constexpr std::size_t first_body_bytes = 4UL * 1024UL;

} // namespace

// Collects what http_parser finds.
class message_reader::parser {
public:
    parser(message_kind of, reader_limits most) : kind(of), limits(most) { this->reset(); }

    std::size_t feed(std::string_view bytes)
    {
        std::size_t used = 0;
        while (used < bytes.size() && this->now == read_state::need_more) {
            const auto part = bytes.substr(used);
            if (!this->started && this->kind == message_kind::request &&
                is_line_end(part.front())) {
                ++used;
                continue;
            }
            this->started = true;
            used += this->head_done ? this->execute(part) : this->execute_header(part);
        }
        return used;
    }

    void end_of_stream()
    {
        if (this->now == read_state::need_more && this->started) {
            http_parser_execute(&this->engine, &settings(), nullptr, 0);
            this->check();
        }
    }

    void reset()
    {
        this->begin_head();
        this->now = read_state::need_more;
        this->header_bytes = 0;
        this->trailer_bytes = 0;
        this->interim_answers = 0;
        this->method.clear();
        this->method_done = this->kind == message_kind::response;
        this->target.clear();
        // Assignment would keep the memory.
        std::string().swap(this->body);
        this->body_granted = 0;
    }

    [[nodiscard]] std::size_t held_bytes() const
    {
        return this->head_memory() + std::max(this->body.size(), this->body_granted);
    }

    [[nodiscard]] std::size_t head_memory() const
    {
        return this->header_bytes + this->fields.capacity() * sizeof(net::field);
    }

    http_parser engine{};
    message_kind kind;
    reader_limits limits;
    read_state now = read_state::need_more;
    bool started = false;
    bool head_done = false;
    bool no_body = false;
    bool in_value = false;
    std::size_t header_bytes = 0;
    std::size_t trailer_bytes = 0;
    std::string method;
    bool method_done = false;
    std::string target;
    std::vector<net::field> fields;
    std::string body;
    std::size_t body_granted = 0;
    std::function<bool(std::size_t)> may_take;
    net::answer_head_check head_check;

private:
    // Starts on the header of a message, or of an answer after an interim one.
    void begin_head()
    {
        http_parser_init(&this->engine,
                         this->kind == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        this->engine.data = this;
        this->started = false;
        this->head_done = false;
        this->interim_ended = false;
        this->fields.clear();
        this->in_value = false;
        this->head_check.reset();
    }

    static parser& self(http_parser* from) { return *static_cast<parser*>(from->data); }

    // Empty lines before a request are allowed (RFC 9112, section 2.2).
    static bool is_line_end(char first) { return first == '\r' || first == '\n'; }

    static const http_parser_settings& settings()
    {
        static const http_parser_settings made = make_settings();
        return made;
    }

    static http_parser_settings make_settings()
    {
        http_parser_settings made;
        http_parser_settings_init(&made);
        made.on_url = [](http_parser* from, const char* at, std::size_t length) {
            self(from).target.append(at, length);
            return 0;
        };
        made.on_header_field = [](http_parser* from, const char* at, std::size_t length) {
            return self(from).add_name(at, length);
        };
        made.on_header_value = [](http_parser* from, const char* at, std::size_t length) {
            return self(from).add_value(at, length);
        };
        made.on_headers_complete = [](http_parser* from) {
            return self(from).header_ended();
        };
        made.on_body = [](http_parser* from, const char* at, std::size_t length) {
            return self(from).add_body(at, length);
        };
        made.on_message_complete = [](http_parser* from) {
            return self(from).message_ended();
        };
        return made;
    }

    std::size_t execute(std::string_view part)
    {
        if (!this->check_answer_head(part)) {
            this->now = read_state::malformed;
            return 0;
        }
        const auto used = http_parser_execute(&this->engine, &settings(), part.data(), part.size());
        if (this->interim_ended) {
            this->begin_head();
        }
        else {
            this->check();
        }
        return used;
    }

    // http_parser accepts any number as a status and some lines that are no fields. The bytes of a
    // head that is invalid are not passed to it.
    bool check_answer_head(std::string_view part)
    {
        return this->kind == message_kind::request || this->head_done ||
               this->head_check.feed(part) != net::answer_head_state::invalid;
    }

    // Passes the parser no more bytes than the header may still have, so that the limit applies to
    // the bytes on the wire, however they are divided.
    std::size_t execute_header(std::string_view part)
    {
        const auto allowed = this->limits.max_header_bytes + header_end_bytes;
        if (this->header_bytes >= allowed) {
            this->now = read_state::header_too_large;
            return 0;
        }
        const auto most = std::min<std::size_t>(allowed - this->header_bytes, HTTP_MAX_HEADER_SIZE);
        // The parser would otherwise refuse a header at a limit of its own.
        this->engine.nread = 0;
        const auto used = this->method_done ? this->execute_spaced(part.substr(0, most))
                                            : this->execute_method(part.substr(0, most));
        if (!this->head_done) {
            this->header_bytes += used;
            if (this->header_bytes >= allowed && this->now == read_state::need_more) {
                this->now = read_state::header_too_large;
            }
        }
        return used;
    }

    // The parser accepts only methods that it knows, but any token is one (RFC 9110, section 9.1).
    // Only CONNECT changes how a request is read, so the parser gets a known method in place of any
    // other.
    std::size_t execute_method(std::string_view part)
    {
        const auto* const end = std::find_if_not(part.begin(), part.end(), net::is_token_character);
        const auto length = static_cast<std::size_t>(end - part.begin());
        this->method.append(part.substr(0, length));
        if (end == part.end()) {
            return length;
        }
        if (*end != ' ' || this->method.empty() || this->method == "CONNECT") {
            this->now = read_state::malformed;
            return length;
        }
        this->method_done = true;
        this->execute("POST ");
        return length + 1;
    }

    // After the values of Content-Length and Transfer-Encoding, the parser accepts spaces but no
    // tabs. A tab means the same there, so the parser gets a space in its place.
    std::size_t execute_spaced(std::string_view part)
    {
        if (part.front() == '\t' && this->in_framing_field()) {
            return this->execute(" ");
        }
        const auto tab = part.find('\t', 1);
        return this->execute(part.substr(0, tab));
    }

    [[nodiscard]] bool in_framing_field() const
    {
        return !this->fields.empty() &&
               (net::same_name(this->fields.back().name, "Content-Length") ||
                net::same_name(this->fields.back().name, "Transfer-Encoding"));
    }

    int add_name(const char* at, std::size_t length)
    {
        if (this->head_done) {
            return this->drop_trailer(length);
        }
        if (this->in_value || this->fields.empty()) {
            this->fields.emplace_back();
            this->in_value = false;
        }
        this->fields.back().name.append(at, length);
        return 0;
    }

    int add_value(const char* at, std::size_t length)
    {
        if (this->head_done) {
            return this->drop_trailer(length);
        }
        this->in_value = true;
        this->fields.back().value.append(at, length);
        return 0;
    }

    // Trailers after a chunked body are dropped: they must not pass for fields of the header.
    int drop_trailer(std::size_t length)
    {
        this->trailer_bytes += length;
        if (this->trailer_bytes > this->limits.max_header_bytes) {
            this->now = read_state::header_too_large;
            return 1;
        }
        return 0;
    }

    int header_ended()
    {
        this->head_done = true;
        detail::trim_values(this->fields);
        // An offer to upgrade is declined by going on with this protocol.
        this->engine.upgrade = 0;
        if (detail::has_spaced_name(this->fields) || !this->framed_as_its_kind()) {
            this->now = read_state::malformed;
            return -1;
        }
        const bool sized = (this->engine.flags & F_CONTENTLENGTH) != 0;
        const bool bodyless = this->no_body || this->has_bodyless_status();
        if (sized && this->engine.content_length > this->limits.max_body_bytes && !bodyless) {
            this->now = read_state::body_too_large;
            return -1;
        }
        if (sized && !bodyless && !this->take_memory(this->engine.content_length)) {
            return -1;
        }
        return bodyless ? 1 : 0;
    }

    [[nodiscard]] bool is_interim() const
    {
        return this->kind == message_kind::response &&
               this->engine.status_code < first_final_status;
    }

    // Such an answer ends with its header, whatever that says (RFC 9112, section 6.3).
    [[nodiscard]] bool has_bodyless_status() const
    {
        return this->is_interim() ||
               (this->kind == message_kind::response && (this->engine.status_code == no_content ||
                                                         this->engine.status_code == not_modified));
    }

    // An interim answer with a length or a coding is a whole answer with a wrong status: waiting
    // for another one after it could last until the deadline.
    [[nodiscard]] bool framed_as_its_kind() const
    {
        if (this->is_interim()) {
            return (this->engine.flags & (F_CONTENTLENGTH | F_CHUNKED)) == 0 &&
                   net::find_field(this->fields, "Transfer-Encoding").empty();
        }
        return this->kind == message_kind::response || detail::is_framed_safely(this->fields);
    }

    // Makes room for a body of that many bytes.
    bool take_memory(std::size_t bytes)
    {
        if (bytes > this->body_granted) {
            if (this->may_take && !this->may_take(this->head_memory() + bytes)) {
                this->now = read_state::no_memory;
                return false;
            }
            this->body_granted = bytes;
        }
        this->body.reserve(std::min(bytes, this->limits.max_body_bytes));
        return true;
    }

    int add_body(const char* at, std::size_t length)
    {
        if (this->body.size() + length > this->limits.max_body_bytes) {
            this->now = read_state::body_too_large;
            return 1;
        }
        const auto needed = this->body.size() + length;
        if (needed > this->body_granted &&
            !this->take_memory(std::max({needed, 2 * this->body.size(), first_body_bytes}))) {
            return 1;
        }
        this->body.append(at, length);
        return 0;
    }

    int message_ended()
    {
        if (this->is_interim()) {
            if (++this->interim_answers > net::max_interim_answers) {
                this->now = read_state::malformed;
                return 1;
            }
            this->interim_ended = true;
            http_parser_pause(&this->engine, 1);
            return 0;
        }
        this->now = read_state::complete;
        http_parser_pause(&this->engine, 1);
        return 0;
    }

    std::size_t interim_answers = 0;
    bool interim_ended = false;

    void check()
    {
        const auto error = HTTP_PARSER_ERRNO(&this->engine);
        if (this->now != read_state::need_more) {
            return;
        }
        if (error == HPE_HEADER_OVERFLOW) {
            this->now = read_state::header_too_large;
        }
        else if (error != HPE_OK) {
            this->now = read_state::malformed;
        }
    }
};

message_reader::message_reader(message_kind kind, reader_limits limits)
    : inner(std::make_unique<parser>(kind, limits))
{
}

message_reader::~message_reader() = default;

std::size_t message_reader::feed(std::string_view bytes)
{
    return this->inner->feed(bytes);
}

void message_reader::end_of_stream()
{
    this->inner->end_of_stream();
}

read_state message_reader::state() const
{
    return this->inner->now;
}

bool message_reader::begun() const
{
    return this->inner->started;
}

bool message_reader::header_complete() const
{
    return this->inner->head_done;
}

bool message_reader::expects_continue() const
{
    return this->inner->head_done &&
           net::same_name(net::find_field(this->inner->fields, "Expect"), "100-continue");
}

std::string message_reader::malformed_line() const
{
    return this->inner->head_check.line();
}

request message_reader::take_request()
{
    auto& from = *this->inner;
    request taken;
    taken.method = std::move(from.method);
    taken.target = std::move(from.target);
    taken.fields = std::move(from.fields);
    taken.body = std::move(from.body);
    taken.keep_alive = http_should_keep_alive(&from.engine) != 0;
    from.reset();
    return taken;
}

response message_reader::take_response()
{
    auto& from = *this->inner;
    response taken;
    taken.status = static_cast<int>(from.engine.status_code);
    taken.fields = std::move(from.fields);
    taken.body = std::move(from.body);
    taken.keep_alive = http_should_keep_alive(&from.engine) != 0;
    from.reset();
    return taken;
}

void message_reader::discard()
{
    this->inner->reset();
    this->inner->fields.shrink_to_fit();
}

void message_reader::set_limits(reader_limits limits)
{
    this->inner->limits = limits;
}

void message_reader::set_memory_check(std::function<bool(std::size_t)> may_take)
{
    this->inner->may_take = std::move(may_take);
}

std::size_t message_reader::held_bytes() const
{
    return this->inner->held_bytes();
}

void message_reader::expect_no_body(bool none)
{
    this->inner->no_body = none;
}

} // namespace azureshore::http1
