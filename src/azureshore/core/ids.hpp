#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace azureshore {

// A name of one kind of thing. The tag keeps a VM's name from being passed as a service's.
template <class Tag>
struct basic_id {
    std::string value;

    auto operator<=>(const basic_id&) const = default;
    bool operator==(const basic_id&) const = default;
    [[nodiscard]] bool empty() const { return this->value.empty(); }
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, const basic_id<Tag>& id)
{
    return out << id.value;
}

using vm_id = basic_id<struct vm_tag>;
using region_id = basic_id<struct region_tag>;
using data_centre_id = basic_id<struct data_centre_tag>;
using account_id = basic_id<struct account_tag>;
using service_id = basic_id<struct service_tag>;
using backend_id = basic_id<struct backend_tag>;

// One run of a process: a restarted process has a new one.
using instance_id = basic_id<struct instance_tag>;

// A number that only one thing of its kind has within one process's run.
template <class Tag>
struct basic_number {
    std::uint64_t value = 0;

    auto operator<=>(const basic_number&) const = default;
    bool operator==(const basic_number&) const = default;
};

template <class Tag>
std::ostream& operator<<(std::ostream& out, const basic_number<Tag>& number)
{
    return out << number.value;
}

// A caller's request on the VM that took it in.
using request_number = basic_number<struct request_tag>;

// One try of a request at one backend server.
using attempt_number = basic_number<struct attempt_tag>;

// A permit, numbered by the leader that gave it.
using permit_number = basic_number<struct permit_tag>;

// The backend servers of one service in one data centre.
struct cell_id {
    service_id service;
    data_centre_id data_centre;

    auto operator<=>(const cell_id&) const = default;
    bool operator==(const cell_id&) const = default;
};

inline std::ostream& operator<<(std::ostream& out, const cell_id& cell)
{
    return out << cell.service << '@' << cell.data_centre;
}

// The backend servers of one service in one region: they are led as one and share one queue.
struct pool_id {
    service_id service;
    region_id region;

    auto operator<=>(const pool_id&) const = default;
    bool operator==(const pool_id&) const = default;
};

inline std::ostream& operator<<(std::ostream& out, const pool_id& pool)
{
    return out << pool.service << '@' << pool.region;
}

} // namespace azureshore

template <class Tag>
struct std::hash<azureshore::basic_id<Tag>> {
    std::size_t operator()(const azureshore::basic_id<Tag>& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

template <class Tag>
struct std::hash<azureshore::basic_number<Tag>> {
    std::size_t operator()(const azureshore::basic_number<Tag>& number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value);
    }
};
