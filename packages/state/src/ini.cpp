/** @file ini.cpp INI reading through inih. */
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

#include "turmeric/state/ini_func.h"

namespace turmeric {
namespace {

/** Feeds inih line by line and so knows the number of the current one. */
struct ini_source {
  std::istringstream text;
  std::vector<ini_line> lines;
  int line = 0;

  static char* read(char* buffer, int size, void* self) {
    auto* source = static_cast<ini_source*>(self);
    std::string line;
    if (!std::getline(source->text, line))
      return nullptr;
    ++source->line;
    const size_t length =
        std::min(line.size(), static_cast<size_t>(std::max(size - 2, 0)));
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\n';
    buffer[length + 1] = '\0';
    return buffer;
  }

  static int handle(void* self,
                    const char* section,
                    const char* name,
                    const char* value) {
    auto* source = static_cast<ini_source*>(self);
    source->lines.push_back({section, name, value, source->line});
    return 1;
  }
};

}  // namespace

result<std::vector<ini_line>> parse_ini(const std::string& text,
                                        const std::string& origin) {
  ini_source source;
  source.text.str(text);
  const int bad_line = ini_parse_stream(&ini_source::read, &source,
                                        &ini_source::handle, &source);
  if (bad_line != 0) {
    return fail(result_code::declaration_invalid,
                "not an INI line, expected [section] or name = value", origin,
                bad_line);
  }
  return std::move(source.lines);
}

result<std::vector<ini_line>> read_ini(const std::string& path) {
  std::ifstream file(path);
  if (!file)
    return fail(result_code::file_unreadable, "cannot be read", path);
  std::ostringstream text;
  text << file.rdbuf();
  return parse_ini(text.str(), path);
}

}  // namespace turmeric
