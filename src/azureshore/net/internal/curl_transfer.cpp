#include "azureshore/net/internal/curl_transfer.hpp"

#include "azureshore/net/field_text.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace azureshore::net::detail {

namespace {

constexpr std::size_t max_header_bytes = 64UL * 1024UL;
constexpr int no_content = 204;
constexpr int not_modified = 304;
constexpr int first_final_status = 200;

// libcurl adds these of its own when they are not named.
constexpr std::array<std::string_view, 4> unwanted_defaults{"Accept", "Content-Type", "Expect",
                                                            "User-Agent"};

// Fields that libcurl must set itself, or a body could be framed in two ways.
constexpr std::array<std::string_view, 3> framing_fields{"Content-Length", "Transfer-Encoding",
                                                         "Connection"};

bool is_framing(std::string_view name)
{
    return std::any_of(framing_fields.begin(), framing_fields.end(),
                       [&](std::string_view each) { return same_name(each, name); });
}

bool has_control(std::string_view text)
{
    return std::any_of(text.begin(), text.end(),
                       [](char each) { return each == '\r' || each == '\n' || each == '\0'; });
}

long milliseconds_of(duration span)
{
    const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(span);
    return std::max<long>(1, rounded.count());
}

} // namespace

curl_transfer::curl_transfer(transfer_number id, http_request asked,
                             std::function<void(http_result)> on_done)
    : number(id), done(std::move(on_done)), easy(curl_easy_init()), request(std::move(asked)),
      started(std::chrono::steady_clock::now())
{
    this->set_connection_options();
    this->set_request_options();
    this->set_fields();
}

void curl_transfer::set_connection_options()
{
    CURL* const to = this->easy.get();
    curl_easy_setopt(to, CURLOPT_PRIVATE, this);
    curl_easy_setopt(to, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(to, CURLOPT_PROXY, "");
    curl_easy_setopt(to, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(to, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(to, CURLOPT_FRESH_CONNECT, this->request.may_reuse_connection ? 0L : 1L);
    curl_easy_setopt(to, CURLOPT_TIMEOUT_MS, milliseconds_of(this->request.timeout));
    curl_easy_setopt(to, CURLOPT_PREREQFUNCTION, &curl_transfer::before_request);
    curl_easy_setopt(to, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(to, CURLOPT_HEADERFUNCTION, &curl_transfer::on_header);
    curl_easy_setopt(to, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(to, CURLOPT_WRITEFUNCTION, &curl_transfer::on_body);
    curl_easy_setopt(to, CURLOPT_WRITEDATA, this);
}

void curl_transfer::set_request_options()
{
    CURL* const to = this->easy.get();
    this->url = "http://" + to_string(this->request.where) + '/';
    curl_easy_setopt(to, CURLOPT_URL, this->url.c_str());
    curl_easy_setopt(to, CURLOPT_REQUEST_TARGET, this->request.target.c_str());
    const auto& method = this->request.method;
    if (method == "HEAD") {
        curl_easy_setopt(to, CURLOPT_NOBODY, 1L);
        return;
    }
    const bool sends_length = method == "POST" || method == "PUT" || method == "PATCH";
    if (sends_length || !this->request.body.empty()) {
        curl_easy_setopt(to, CURLOPT_POST, 1L);
        curl_easy_setopt(to, CURLOPT_POSTFIELDS, this->request.body.data());
        curl_easy_setopt(to, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(this->request.body.size()));
    }
    curl_easy_setopt(to, CURLOPT_CUSTOMREQUEST, method.c_str());
}

void curl_transfer::set_fields()
{
    for (const auto& each : this->request.headers) {
        if (is_framing(each.name)) {
            continue;
        }
        this->add_line(each.value.empty() ? each.name + ';' : each.name + ": " + each.value);
    }
    for (const auto name : unwanted_defaults) {
        if (find_field(this->request.headers, name).empty()) {
            this->add_line(std::string(name) + ':');
        }
    }
    curl_easy_setopt(this->easy.get(), CURLOPT_HTTPHEADER, this->lines.get());
}

void curl_transfer::add_line(const std::string& line)
{
    auto* const longer = curl_slist_append(this->lines.get(), line.c_str());
    if (longer != nullptr && this->lines == nullptr) {
        this->lines.reset(longer);
    }
}

bool curl_transfer::well_formed() const
{
    if (has_control(this->request.target) || has_control(this->request.method)) {
        return false;
    }
    return std::none_of(
        this->request.headers.begin(), this->request.headers.end(),
        [](const field& each) { return has_control(each.name) || has_control(each.value); });
}

// libcurl calls this when a connection stands and before a byte of the request leaves. A second
// call means that it is about to send the request again.
int curl_transfer::before_request(void* self, char*, char*, int, int)
{
    auto& transfer = *static_cast<curl_transfer*>(self);
    transfer.result.connected = true;
    if (transfer.sent_once) {
        return CURL_PREREQFUNC_ABORT;
    }
    transfer.sent_once = true;
    return CURL_PREREQFUNC_OK;
}

std::size_t curl_transfer::on_header(char* data, std::size_t size, std::size_t count, void* self)
{
    const std::size_t length = size * count;
    const bool taken = static_cast<curl_transfer*>(self)->take_header({data, length});
    return taken ? length : 0;
}

std::size_t curl_transfer::on_body(char* data, std::size_t size, std::size_t count, void* self)
{
    const std::size_t length = size * count;
    const bool taken = static_cast<curl_transfer*>(self)->take_body({data, length});
    return taken ? length : 0;
}

bool curl_transfer::take_header(std::string_view line)
{
    this->header_bytes += line.size();
    if (this->header_bytes > max_header_bytes) {
        this->answer_too_large = true;
        return false;
    }
    const bool is_status_line =
        line.starts_with("HTTP/") && (this->heads == 0 || this->headers_complete);
    if (this->headers_complete && !is_status_line) {
        // Trailers after the body are not passed on.
        return true;
    }
    if (is_status_line) {
        this->begin_head();
    }
    const auto state = this->head_check.feed(line);
    if (state == answer_head_state::invalid || this->heads > max_interim_answers + 1) {
        this->malformed = true;
        return false;
    }
    this->headers_complete = state == answer_head_state::complete;
    if (this->headers_complete) {
        this->check_echo();
    }
    if (is_status_line || this->headers_complete) {
        return true;
    }
    const auto colon = line.find(':');
    if (colon != std::string_view::npos) {
        const auto value = trimmed(line.substr(colon + 1));
        this->result.headers.push_back({std::string(line.substr(0, colon)), std::string(value)});
    }
    return true;
}

// An interim answer may have come before this one.
void curl_transfer::begin_head()
{
    ++this->heads;
    this->head_check.reset();
    this->result.headers.clear();
    this->headers_complete = false;
}

void curl_transfer::check_echo()
{
    const auto& echo = this->request.echo;
    const bool right =
        !echo || find_field(this->result.headers, echo->name) == std::string_view(echo->value);
    curl_easy_setopt(this->easy.get(), CURLOPT_FORBID_REUSE, right ? 0L : 1L);
}

bool curl_transfer::take_body(std::string_view bytes)
{
    const std::size_t limit = this->request.max_answer_body;
    if (limit != 0 && this->result.body.size() + bytes.size() > limit) {
        this->answer_too_large = true;
        return false;
    }
    this->result.body.append(bytes);
    return true;
}

bool curl_transfer::ends_by_its_own_length() const
{
    // libcurl also reports success when the connection closed within the head.
    if (!this->headers_complete) {
        return false;
    }
    const int status = this->result.status;
    if (this->request.method == "HEAD" || status == no_content || status == not_modified) {
        return true;
    }
    const auto coding = find_field(this->result.headers, "Transfer-Encoding");
    if (!coding.empty()) {
        return same_name(coding, "chunked");
    }
    return !find_field(this->result.headers, "Content-Length").empty();
}

failure curl_transfer::failure_from(CURLcode code) const
{
    if (this->answer_too_large) {
        return failure::message_oversized;
    }
    if (this->malformed) {
        return failure::message_malformed;
    }
    switch (code) {
    case CURLE_OK:
        return this->ends_by_its_own_length() ? failure::none : failure::connection_failed;
    case CURLE_OPERATION_TIMEDOUT:
        return failure::timed_out;
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return failure::message_malformed;
    default:
        return failure::connection_failed;
    }
}

http_result curl_transfer::finish(CURLcode code)
{
    long status = 0;
    curl_easy_getinfo(this->easy.get(), CURLINFO_RESPONSE_CODE, &status);
    long new_connections = 0;
    curl_easy_getinfo(this->easy.get(), CURLINFO_NUM_CONNECTS, &new_connections);
    this->result.reused_connection = this->result.connected && new_connections == 0;
    const bool answered = status >= first_final_status && !this->malformed;
    this->result.status = answered ? static_cast<int>(status) : 0;
    this->result.why = this->failure_from(code);
    this->result.elapsed = std::chrono::steady_clock::now() - this->started;
    return std::move(this->result);
}

} // namespace azureshore::net::detail
