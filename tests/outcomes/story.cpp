#include "outcomes/story.hpp"

#include "support/approved.hpp"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <fstream>

namespace azureshore::outcomes::testing {

namespace {

constexpr time_point start_of_story{std::chrono::hours(1)};

std::string approved_path(const std::string& name)
{
    return std::string(AZURESHORE_SOURCE_DIR) + "/tests/outcomes/approved/" + name + ".txt";
}

} // namespace

content_pointer content_of(const std::string& target)
{
    return std::make_shared<request_content>(request_content{"POST", target, {}, "body"});
}

void story::tell(time_point now, const std::string& line)
{
    std::array<char, 32> at{};
    std::snprintf(at.data(), at.size(), "%9.1f ms  ", to_milliseconds(now - start_of_story));
    this->text += at.data() + line + '\n';
}

void story::heading(const std::string& line)
{
    this->text += (this->text.empty() ? "" : "\n") + line + '\n';
}

void story::check(const std::string& name) const
{
    if (std::getenv("AZURESHORE_APPROVE") != nullptr) {
        std::ofstream(approved_path(name)) << this->text;
    }
    BOOST_TEST(test::matches_approved(approved_path(name), this->text));
}

one_vm::one_vm(configuration::service_limits limits)
    : engine(std::make_unique<request_engine>(vm_id{"vm-1"}, service_id{"foundry"},
                                              seeded_random(1), this->make_hooks()))
{
    this->engine->configure(this->now, limits);
}

engine_hooks one_vm::make_hooks()
{
    engine_hooks hooks;
    hooks.acquire = [this](const attempt_permit_request& wish) {
        this->wishes.push_back(wish);
    };
    hooks.release = [this](attempt_number number) {
        this->told.tell(this->now, "-> release attempt " + std::to_string(number.value));
    };
    hooks.start = [this](const attempt_request& order) {
        this->started.push_back(order);
    };
    hooks.cancel = [this](attempt_number number) {
        this->told.tell(this->now, "-> cancel attempt " + std::to_string(number.value));
    };
    hooks.answer = [this](request_number to, const caller_response& said) {
        this->keep_word(to, said);
    };
    hooks.append = [](const std::string&, std::uint64_t, const std::string&) {
    };
    hooks.send = [this](const vm_id&, const wire::message& body) {
        if (const auto* suspicion = std::get_if<wire::suspicion>(&body)) {
            this->told_others.push_back(*suspicion);
        }
    };
    hooks.log = [this](const observe::decision& made) {
        this->told.tell(this->now, "   " + observe::to_line(made));
    };
    return hooks;
}

void one_vm::keep_word(request_number to, const caller_response& said)
{
    this->words.emplace_back(to, said);
    const auto text = said.answer ? "answer " + said.answer->body
                                  : "refusal " + std::string(to_string(said.refused->cause));
    this->told.tell(this->now, "-> caller " + std::to_string(to.value) + " gets " + text);
}

void one_vm::after(duration span)
{
    this->now += span;
    this->engine->tick(this->now);
}

request_number one_vm::ask(bool idempotent, const std::string& target, const std::string& key)
{
    incoming_request request;
    request.number = {++this->last_request};
    request.service = {"foundry"};
    request.content = content_of(target);
    request.idempotent = idempotent;
    request.key = key;
    this->told.tell(this->now, "request " + std::to_string(request.number.value) + " " + target);
    this->engine->begin(this->now, request);
    return request.number;
}

void one_vm::grant(const std::string& backend)
{
    this->engine->permit_granted(this->now, this->wishes.back().attempt, {backend},
                                 {"127.0.0.1", 80});
}

void one_vm::end(attempt_end how, attempt_proof proof, const std::string& body)
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
