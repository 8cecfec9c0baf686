#pragma once

#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace azureshore::test_support {

inline std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string whole;
    for (const auto part : parts) {
        whole.append(part);
    }
    return whole;
}

// Whether a byte may stand in the name of a field (RFC 9110, section 5.6.2).
inline bool may_stand_in_a_name(char letter)
{
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return (letter >= '0' && letter <= '9') || (letter >= 'a' && letter <= 'z') ||
           (letter >= 'A' && letter <= 'Z') || marks.find(letter) != std::string_view::npos;
}

// All bytes but those of a name and the colon that ends it.
inline std::vector<char> bytes_of_no_name()
{
    std::vector<char> all;
    for (int byte = 0; byte < 256; ++byte) {
        const auto letter = static_cast<char>(byte);
        if (!may_stand_in_a_name(letter) && letter != ':') {
            all.push_back(letter);
        }
    }
    return all;
}

// The name with the byte before, inside and after it.
inline std::vector<std::string> names_with(const std::string& name, char byte)
{
    auto inside = name;
    inside.insert(name.size() / 2, 1, byte);
    return {byte + name, inside, name + byte};
}

// Lines of fields with one more as the first, the second and the last.
inline std::vector<std::string> fields_with(const std::string& line, const std::string& one,
                                            const std::string& other)
{
    return {line + one + other, one + line + other, one + other + line};
}

// Lines that are no fields, though each byte may stand in a head.
inline const std::vector<std::string>& lines_of_no_field()
{
    static const std::vector<std::string> lines{": value\r\n",          "X-Field\r\n",
                                                "X-Field value\r\n",    " \r\n",
                                                " X-Field: folded\r\n", "HTTP/1.1 200 OK\r\n"};
    return lines;
}

// What may follow the fields of an answer whose body is `no`.
inline const std::vector<std::string>& ends_of_answers()
{
    static const std::vector<std::string> ends{
        "Content-Length: 2\r\n\r\nno", "\r\nno",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"};
    return ends;
}

} // namespace azureshore::test_support
