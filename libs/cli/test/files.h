#ifndef FILBERTSTAIR_CLI_TEST_FILES_H_
#define FILBERTSTAIR_CLI_TEST_FILES_H_

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <string>

namespace filbertstair::cli {

// Temporary directory for the files of one test. The destructor removes it and its files.
class TestFiles {
 public:
  TestFiles() {
    auto name = (std::filesystem::temp_directory_path() / "filbertstair-XXXXXX").string();
    this->directory = mkdtemp(name.data());
  }
  TestFiles(const TestFiles&) = delete;
  auto operator=(const TestFiles&) -> TestFiles& = delete;
  ~TestFiles() { std::filesystem::remove_all(this->directory); }

  // Writes a file and returns its path.
  auto Write(const std::string& name, const std::string& text) const -> std::string {
    const auto path = this->directory / name;
    std::ofstream(path) << text;
    return path;
  }

 private:
  std::filesystem::path directory;
};

// Returns a valid service document with one host name.
inline auto MakeTestDocument(const std::string& service, int version, const std::string& host)
    -> std::string {
  return "name: " + service + "\nversion: " + std::to_string(version) + "\nhosts: [" + host +
         "]\npools: [{name: p}]\nworkspaces: [{id: w}]\n";
}

}  // namespace filbertstair::cli

#endif  // FILBERTSTAIR_CLI_TEST_FILES_H_
