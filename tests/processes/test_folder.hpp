#pragma once

#include <string>

namespace azureshore::testing {

// A folder for a test's files. One that is named stays; a new one is removed with this object.
class test_folder {
public:
    explicit test_folder(const std::string& named = {});
    ~test_folder();
    test_folder(const test_folder&) = delete;
    test_folder& operator=(const test_folder&) = delete;
    test_folder(test_folder&&) = delete;
    test_folder& operator=(test_folder&&) = delete;

    // The path of a file in it.
    [[nodiscard]] std::string file(const std::string& name) const;

private:
    std::string path;
    bool kept;
};

} // namespace azureshore::testing
