#pragma once

#include "azureshore/outcomes/request_engine.hpp"

#include <memory>
#include <string>
#include <vector>

namespace azureshore::outcomes::testing {

// The story so far, one line for each event, decision and action.
class story {
public:
    void tell(time_point now, const std::string& line);
    void heading(const std::string& line);

    // Compares the story with approved/NAME.txt; AZURESHORE_APPROVE=1 writes it instead.
    void check(const std::string& name) const;

private:
    std::string text;
};

// One engine in virtual time. Actions are told and kept; nothing answers them but the test.
class one_vm {
public:
    explicit one_vm(configuration::service_limits limits = {});

    void after(duration span);
    request_number ask(bool idempotent, const std::string& target, const std::string& key = {});
    void grant(const std::string& backend);
    void end(attempt_end how, attempt_proof proof, const std::string& body = {});

    story told;
    time_point now{std::chrono::hours(1)};
    std::vector<attempt_permit_request> wishes;
    std::vector<attempt_request> started;
    std::vector<std::pair<request_number, caller_response>> words;
    std::vector<wire::suspicion> told_others;
    std::unique_ptr<request_engine> engine;

private:
    [[nodiscard]] engine_hooks make_hooks();
    void keep_word(request_number to, const caller_response& said);

    std::uint64_t last_request = 0;
};

// A request's content as a caller would send it.
content_pointer content_of(const std::string& target);

} // namespace azureshore::outcomes::testing
