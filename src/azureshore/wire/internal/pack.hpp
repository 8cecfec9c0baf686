#pragma once

// Packs and unpacks message fields with msgpack. Every reader checks the type it finds, so that
// damaged input ends as a msgpack::type_error and never as a wrong value.

#include "azureshore/wire/internal/fields.hpp"

#include <msgpack.hpp>

#include <algorithm>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <type_traits>
#include <variant>
#include <vector>

namespace azureshore::wire::detail {

using packer = msgpack::packer<msgpack::sbuffer>;

template <class T>
concept has_fields = requires(T& value)
{
    fields<T>::tie(value);
};

template <class T>
concept scalar = std::integral<T> || std::same_as<T, double> || std::same_as<T, std::string> ||
    std::same_as<T, bool>;

template <class T>
void write(packer& out, const T& value);
template <class T>
void read(const msgpack::object& in, T& value);

template <class T>
void write_value(packer& out, const std::vector<T>& values)
{
    out.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const auto& each : values) {
        write(out, each);
    }
}

template <class T>
void write_value(packer& out, const std::optional<T>& value)
{
    out.pack_array(value ? 1 : 0);
    if (value) {
        write(out, *value);
    }
}

template <class Tag>
void write_value(packer& out, const basic_id<Tag>& id)
{
    out.pack(id.value);
}

template <class Tag>
void write_value(packer& out, const basic_number<Tag>& number)
{
    out.pack(number.value);
}

inline void write_value(packer& out, const duration& span)
{
    out.pack(static_cast<std::int64_t>(span.count()));
}

inline void write_value(packer& out, const std::chrono::sys_seconds& when)
{
    out.pack(static_cast<std::int64_t>(when.time_since_epoch().count()));
}

template <class... Each>
void write_value(packer& out, const std::variant<Each...>& value)
{
    out.pack_array(2);
    out.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&out](const auto& held) { write(out, held); }, value);
}

template <class T>
void write(packer& out, const T& value)
{
    if constexpr (scalar<T>) {
        out.pack(value);
    }
    else if constexpr (std::is_enum_v<T>) {
        out.pack(static_cast<std::uint8_t>(value));
    }
    else if constexpr (has_fields<const T> || has_fields<T>) {
        const auto tied = fields<T>::tie(value);
        out.pack_array(std::tuple_size_v<std::remove_const_t<decltype(tied)>>);
        std::apply([&out](const auto&... each) { (write(out, each), ...); }, tied);
    }
    else {
        write_value(out, value);
    }
}

// Unpacks bytes that hold one object and nothing after it. msgpack allocates what a length claims
// before it reads on, so lengths are limited: arrays by what a message may sensibly hold, the types
// that no message uses to nothing.
inline msgpack::object_handle unpack_whole(std::string_view bytes)
{
    constexpr std::size_t max_array = 262144;
    constexpr std::size_t max_depth = 10;
    const auto size = bytes.size();
    const msgpack::unpack_limit limit(std::min(size, max_array), 0, size, size, 0, max_depth);
    std::size_t end = 0;
    auto handle = msgpack::unpack(bytes.data(), size, end, nullptr, nullptr, limit);
    if (end != size) {
        throw msgpack::type_error();
    }
    return handle;
}

inline const msgpack::object_array& as_array(const msgpack::object& in)
{
    if (in.type != msgpack::type::ARRAY) {
        throw msgpack::type_error();
    }
    return in.via.array;
}

template <class T>
void read_value(const msgpack::object& in, std::vector<T>& values)
{
    const auto& array = as_array(in);
    values.clear();
    // Grows as elements prove good, so that a false length costs no memory.
    for (std::uint32_t i = 0; i < array.size; ++i) {
        read(array.ptr[i], values.emplace_back());
    }
}

template <class T>
void read_value(const msgpack::object& in, std::optional<T>& value)
{
    const auto& array = as_array(in);
    if (array.size > 1) {
        throw msgpack::type_error();
    }
    value.reset();
    if (array.size == 1) {
        read(array.ptr[0], value.emplace());
    }
}

template <class Tag>
void read_value(const msgpack::object& in, basic_id<Tag>& id)
{
    in.convert(id.value);
}

template <class Tag>
void read_value(const msgpack::object& in, basic_number<Tag>& number)
{
    in.convert(number.value);
}

inline void read_value(const msgpack::object& in, duration& span)
{
    span = duration(in.as<std::int64_t>());
}

inline void read_value(const msgpack::object& in, std::chrono::sys_seconds& when)
{
    when = std::chrono::sys_seconds(std::chrono::seconds(in.as<std::int64_t>()));
}

template <std::size_t Kind = 0, class... Each>
void read_alternative(const msgpack::object& in, std::size_t kind, std::variant<Each...>& value)
{
    if constexpr (Kind < sizeof...(Each)) {
        if (kind != Kind) {
            read_alternative<Kind + 1>(in, kind, value);
            return;
        }
        read(in, value.template emplace<Kind>());
    }
    else {
        throw msgpack::type_error();
    }
}

template <class... Each>
void read_value(const msgpack::object& in, std::variant<Each...>& value)
{
    const auto& parts = as_array(in);
    if (parts.size != 2) {
        throw msgpack::type_error();
    }
    read_alternative(parts.ptr[1], parts.ptr[0].as<std::uint32_t>(), value);
}

template <class T>
void read(const msgpack::object& in, T& value)
{
    if constexpr (scalar<T>) {
        in.convert(value);
    }
    else if constexpr (std::is_enum_v<T>) {
        value = static_cast<T>(in.as<std::uint8_t>());
        if (!is_known(value)) {
            throw msgpack::type_error();
        }
    }
    else if constexpr (has_fields<T>) {
        auto tied = fields<T>::tie(value);
        const auto& array = as_array(in);
        if (array.size < std::tuple_size_v<decltype(tied)>) {
            throw msgpack::type_error();
        }
        const auto* next = array.ptr;
        std::apply([&next](auto&... each) { (read(*next++, each), ...); }, tied);
    }
    else {
        read_value(in, value);
    }
}

} // namespace azureshore::wire::detail
