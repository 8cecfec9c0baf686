#include "azureshore/proxy/front.hpp"

#include "azureshore/proxy/internal/waiting_calls.hpp"
#include "azureshore/proxy/refusal_text.hpp"

#include <utility>

namespace azureshore::proxy {

class front::state {
public:
    state(const incoming_limits& bounds, front_hooks calls)
        : limits(bounds), hooks(std::move(calls))
    {
    }

    void open(net::http_server_settings settings)
    {
        this->server =
            std::make_unique<net::http_server>(std::move(settings), this->server_hooks());
    }

    void answer(request_number request, const outcomes::caller_response& word)
    {
        const net::responder respond = this->waiting.take(request);
        if (respond) {
            respond(write_final_word(word));
        }
    }

    const incoming_limits limits;
    const front_hooks hooks;
    detail::waiting_calls waiting;
    std::unique_ptr<net::http_server> server;

private:
    net::http_server_hooks server_hooks()
    {
        net::http_server_hooks to;
        to.call = [this](net::http_call call, net::responder respond) {
            this->take_in(std::move(call), std::move(respond));
        };
        to.gone = [this](net::call_number call) {
            this->caller_gone({call});
        };
        to.refuse = [this](net::early_refusal why) {
            return this->refuse_early(why);
        };
        return to;
    }

    void take_in(net::http_call call, net::responder respond)
    {
        auto read = read_request(std::move(call), this->limits);
        if (const auto* refused = std::get_if<outcomes::refusal>(&read)) {
            this->tell_refused(*refused);
            respond(write_refusal(*refused));
            return;
        }
        auto& request = std::get<outcomes::incoming_request>(read);
        this->waiting.add(request.number, std::move(respond));
        this->hooks.begin(std::move(request));
    }

    net::http_answer refuse_early(net::early_refusal why)
    {
        this->tell_refused({cause_of(why), outcomes::run_claim::not_run, std::nullopt});
        return write_early_refusal(why);
    }

    void tell_refused(const outcomes::refusal& refused)
    {
        if (this->hooks.refused) {
            this->hooks.refused(refused);
        }
    }

    void caller_gone(request_number request)
    {
        if (this->waiting.take(request) && this->hooks.gone) {
            this->hooks.gone(request);
        }
    }
};

front::front(front_settings settings, front_hooks hooks)
    : inner(std::make_unique<state>(settings.limits, std::move(hooks)))
{
    // A call may come, and its hook may answer, before this constructor has ended.
    this->inner->open(std::move(settings.server));
}

front::~front() = default;

void front::answer(request_number request, const outcomes::caller_response& word)
{
    this->inner->answer(request, word);
}

std::uint16_t front::port() const
{
    return this->inner->server->port();
}

std::size_t front::in_flight() const
{
    return this->inner->waiting.size();
}

void front::stop()
{
    this->inner->server->stop();
}

net::http_answer write_final_word(const outcomes::caller_response& word)
{
    if (!word.answer) {
        return write_refusal(word.refused.value_or(outcomes::refusal{}));
    }
    net::http_answer answer;
    answer.status = word.answer->status;
    for (const auto& each : word.answer->headers) {
        answer.headers.push_back({each.name, each.value});
    }
    answer.body = word.answer->body;
    return answer;
}

} // namespace azureshore::proxy
