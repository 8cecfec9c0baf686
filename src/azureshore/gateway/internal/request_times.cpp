#include "azureshore/gateway/internal/request_times.hpp"

namespace azureshore::gateway::detail {

void request_times::ended(const balance::completed_request& request)
{
    auto& into = this->all[{request.service.value, request.idempotent, request.outcome}];
    into.total.add(request.total);
    if (request.queue_time) {
        into.queued.add(*request.queue_time);
    }
    if (request.backend_time) {
        into.at_backend.add(*request.backend_time);
        into.added.add(request.total - *request.backend_time);
    }
}

void request_times::write(std::string& out) const
{
    this->write_family(out, "azureshore_request_duration_seconds", &histograms::total);
    this->write_family(out, "azureshore_request_queue_seconds", &histograms::queued);
    this->write_family(out, "azureshore_backend_response_seconds", &histograms::at_backend);
    this->write_family(out, "azureshore_added_seconds", &histograms::added);
}

void request_times::write_family(std::string& out, const char* name, member of) const
{
    out.append("# TYPE ").append(name).append(" histogram\n");
    for (const auto& [key, each] : this->all) {
        const auto& [service, idempotent, outcome] = key;
        (each.*of).write(out, name,
                         {{"service", service},
                          {"kind", idempotent ? "idempotent" : "other"},
                          {"outcome", std::string(outcome)}});
    }
}

} // namespace azureshore::gateway::detail
