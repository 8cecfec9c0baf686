#pragma once

#include "azureshore/outcomes/request_engine.hpp"

#include <memory>
#include <string>
#include <vector>

namespace azureshore::outcomes::testing {

// Records one line for each event, decision and action.
class transcript {
public:
    void add_line(time_point now, const std::string& line);
    void add_heading(const std::string& line);

    // Compares the recorded text with approved/NAME.txt; AZURESHORE_APPROVE=1 writes the file
    // first.
    void check(const std::string& name) const;

private:
    std::string text;
};

// One engine in virtual time. Its actions are recorded, and only the test responds to them.
class engine_fixture {
public:
    explicit engine_fixture(configuration::service_limits limits = {});

    void after(duration span);
    request_number ask(bool idempotent, const std::string& target, const std::string& key = {});
    void grant(const std::string& backend);
    void end(attempt_end how, attempt_proof proof, const std::string& body = {});

    transcript recorded;
    time_point now{std::chrono::hours(1)};
    std::vector<attempt_permit_request> permit_requests;
    std::vector<attempt_request> started;
    std::vector<std::pair<request_number, caller_response>> responses;
    std::vector<wire::suspicion> sent_suspicions;
    std::unique_ptr<request_engine> engine;

private:
    [[nodiscard]] engine_hooks make_hooks();
    void record_response(request_number number, const caller_response& response);

    std::uint64_t last_request = 0;
};

// Returns the content of a request as a caller would send it.
content_pointer content_of(const std::string& target);

} // namespace azureshore::outcomes::testing
