#pragma once

#include "azureshore/net/answer_head.hpp"
#include "azureshore/net/http_client.hpp"

#include <curl/curl.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace azureshore::net::detail {

struct curl_easy_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
};

struct curl_list_deleter {
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using curl_easy_pointer = std::unique_ptr<CURL, curl_easy_deleter>;

// One request under way in libcurl. Each has a handle of its own: libcurl 7.88.1 keeps a pointer
// into the head of a handle's last answer after that head is freed, and writes there when the next
// answer begins with a line that continues another.
class curl_transfer {
public:
    curl_transfer(transfer_number number, http_request request,
                  std::function<void(http_result)> done);

    // Whether every field can be sent as it is.
    [[nodiscard]] bool well_formed() const;

    // Whether a connection was made, so that bytes may have left.
    [[nodiscard]] bool connected() const { return this->result.connected; }

    // The result of the request, given libcurl's verdict.
    http_result finish(CURLcode code);

    [[nodiscard]] CURL* handle() const { return this->easy.get(); }

    transfer_number number;
    std::function<void(http_result)> done;

private:
    static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* self);
    static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* self);
    static int before_request(void* self, char*, char*, int, int);

    void set_connection_options();
    void set_request_options();
    void set_fields();
    void add_line(const std::string& line);
    void check_echo();
    bool take_header(std::string_view line);
    void begin_head();
    bool take_body(std::string_view bytes);
    [[nodiscard]] bool ends_by_its_own_length() const;
    [[nodiscard]] failure failure_from(CURLcode code) const;

    curl_easy_pointer easy;
    http_request request;
    std::unique_ptr<curl_slist, curl_list_deleter> lines;
    std::string url;
    http_result result;
    std::size_t header_bytes = 0;
    answer_head_check head_check;
    // Heads of answers that have begun, those of interim ones among them.
    std::size_t heads = 0;
    bool headers_complete = false;
    bool answer_too_large = false;
    bool malformed = false;
    bool sent_once = false;
    time_point started;
};

} // namespace azureshore::net::detail
