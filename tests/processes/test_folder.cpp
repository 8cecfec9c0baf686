#include "processes/test_folder.hpp"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace azureshore::testing {

test_folder::test_folder(const std::string& named) : path(named), kept(!named.empty())
{
    if (this->kept) {
        std::filesystem::create_directories(this->path);
        return;
    }
    this->path = std::filesystem::temp_directory_path() / "azureshore-XXXXXX";
    if (mkdtemp(this->path.data()) == nullptr) {
        throw std::runtime_error("no folder for a test's files");
    }
}

test_folder::~test_folder()
{
    if (!this->kept) {
        std::error_code ignored; // What is left costs only space.
        std::filesystem::remove_all(this->path, ignored);
    }
}

std::string test_folder::file(const std::string& name) const
{
    return this->path + '/' + name;
}

} // namespace azureshore::testing
