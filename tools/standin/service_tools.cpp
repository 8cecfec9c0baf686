#include "service_tools.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace azureshore::standin {

net::responder held_back(net::responder respond, duration delay, const delay_function& after)
{
    if (delay == duration::zero()) {
        return respond;
    }
    return [delay, respond = std::move(respond), after](net::http_answer answer) {
        after(delay, [respond, answer = std::move(answer)] { respond(answer); });
    };
}

call_rate::call_rate(double a_second) : per_second(a_second), tokens(a_second) {}

bool call_rate::take(time_point now)
{
    const std::chrono::duration<double> passed = now - this->filled.value_or(now);
    this->filled = now;
    this->tokens = std::min(this->per_second, this->tokens + passed.count() * this->per_second);
    if (this->tokens < 1) {
        return false;
    }
    this->tokens -= 1;
    return true;
}

std::uint64_t waiting_reads::add(const std::string& name, std::uint64_t from,
                                 net::responder respond)
{
    this->all.push_back({++this->last, name, from, std::move(respond)});
    return this->last;
}

std::optional<waiting_read> waiting_reads::take(std::uint64_t id)
{
    const auto found = std::find_if(this->all.begin(), this->all.end(),
                                    [id](const waiting_read& each) { return each.id == id; });
    if (found == this->all.end()) {
        return std::nullopt;
    }
    auto taken = std::move(*found);
    this->all.erase(found);
    return taken;
}

std::vector<waiting_read> waiting_reads::take_all(const std::string& name)
{
    std::vector<waiting_read> taken;
    for (auto& each : this->all) {
        if (each.name == name) {
            taken.push_back(std::move(each));
        }
    }
    // What was moved from keeps its id.
    std::erase_if(this->all, [&taken](const waiting_read& each) {
        return std::any_of(taken.begin(), taken.end(),
                           [&each](const waiting_read& one) { return one.id == each.id; });
    });
    return taken;
}

std::vector<waiting_read> waiting_reads::take_all()
{
    std::vector<waiting_read> taken(std::make_move_iterator(this->all.begin()),
                                    std::make_move_iterator(this->all.end()));
    this->all.clear();
    return taken;
}

} // namespace azureshore::standin
