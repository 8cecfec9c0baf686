#include "azureshore/observe/labels.hpp"

#include <string_view>

namespace azureshore::observe {

namespace {

std::string escaped(std::string_view value)
{
    std::string out;
    for (const char each : value) {
        if (each == '\\' || each == '"') {
            out += '\\';
        }
        if (each == '\n') {
            out += "\\n";
            continue;
        }
        out += each;
    }
    return out;
}

} // namespace

std::string written(const labels& of)
{
    if (of.empty()) {
        return {};
    }
    std::string out = "{";
    for (const auto& each : of) {
        out += out.size() == 1 ? "" : ",";
        out += each.name + "=\"" + escaped(each.value) + '"';
    }
    return out + '}';
}

} // namespace azureshore::observe
