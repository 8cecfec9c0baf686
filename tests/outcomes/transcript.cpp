#include "outcomes/transcript.hpp"

#include "support/approved.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace azureshore::outcomes::testing {

namespace {

constexpr time_point start_time{std::chrono::hours(1)};

std::string approved_path(const std::string& name)
{
    return std::string(AZURESHORE_SOURCE_DIR) + "/tests/outcomes/approved/" + name + ".txt";
}

} // namespace

content_pointer content_of(const std::string& target)
{
    return std::make_shared<request_content>(request_content{"POST", target, {}, "body"});
}

void transcript::add_line(time_point now, const std::string& line)
{
    std::array<char, 32> timestamp{};
    std::snprintf(timestamp.data(), timestamp.size(), "%9.1f ms  ",
                  to_milliseconds(now - start_time));
    this->text += timestamp.data() + line + '\n';
}

void transcript::add_heading(const std::string& line)
{
    this->text += (this->text.empty() ? "" : "\n") + line + '\n';
}

void transcript::check(const std::string& name) const
{
    if (std::getenv("AZURESHORE_APPROVE") != nullptr) {
        std::ofstream(approved_path(name)) << this->text;
    }
    BOOST_TEST(test::matches_approved(approved_path(name), this->text));
}

engine_fixture::engine_fixture(configuration::service_limits limits)
    : engine(std::make_unique<request_engine>(vm_id{"vm-1"}, service_id{"foundry"},
                                              seeded_random(1), this->make_hooks()))
{
    this->engine->configure(this->now, limits);
}

engine_hooks engine_fixture::make_hooks()
{
    engine_hooks hooks;
    hooks.acquire = [this](const attempt_permit_request& permit_request) {
        this->permit_requests.push_back(permit_request);
    };
    hooks.release = [this](attempt_number number) {
        this->recorded.add_line(this->now, "-> release attempt " + std::to_string(number.value));
    };
    hooks.start = [this](const attempt_request& attempt) {
        this->started.push_back(attempt);
    };
    hooks.cancel = [this](attempt_number number) {
        this->recorded.add_line(this->now, "-> cancel attempt " + std::to_string(number.value));
    };
    hooks.answer = [this](request_number number, const caller_response& response) {
        this->record_response(number, response);
    };
    hooks.append = [](const std::string&, std::uint64_t, const std::string&) {
    };
    hooks.send = [this](const vm_id&, const wire::message& body) {
        if (const auto* suspicion = std::get_if<wire::suspicion>(&body)) {
            this->sent_suspicions.push_back(*suspicion);
        }
    };
    hooks.log = [this](const observe::decision& decision) {
        this->recorded.add_line(this->now, "   " + observe::to_line(decision));
    };
    return hooks;
}

void engine_fixture::record_response(request_number number, const caller_response& response)
{
    this->responses.emplace_back(number, response);
    const auto text = response.answer
                          ? "answer " + response.answer->body
                          : "refusal " + std::string(to_string(response.refused->cause));
    this->recorded.add_line(this->now,
                            "-> caller " + std::to_string(number.value) + " gets " + text);
}

void engine_fixture::after(duration span)
{
    this->now += span;
    this->engine->tick(this->now);
}

request_number engine_fixture::ask(bool idempotent, const std::string& target,
                                   const std::string& key)
{
    incoming_request request;
    request.number = {++this->last_request};
    request.service = {"foundry"};
    request.content = content_of(target);
    request.idempotent = idempotent;
    request.key = key;
    this->recorded.add_line(this->now,
                            "request " + std::to_string(request.number.value) + " " + target);
    this->engine->begin(this->now, request);
    return request.number;
}

void engine_fixture::grant(const std::string& backend)
{
    this->engine->permit_granted(this->now, this->permit_requests.back().attempt, {backend},
                                 {"127.0.0.1", 80});
}

void engine_fixture::end(attempt_end how, attempt_proof proof, const std::string& body)
{
    attempt_report report;
    report.attempt = this->started.back().attempt;
    report.end = how;
    report.proof = proof;
    if (how == attempt_end::answered) {
        report.answer = answer_content{200, {}, body};
    }
    this->engine->attempt_ended(this->now, report);
}

} // namespace azureshore::outcomes::testing
