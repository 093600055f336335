/** @file ini.cpp INI reading through inih. */
#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <sstream>

#include "turmeric/state/ini_func.h"

namespace turmeric {
namespace {

/** Input and result of one inih run. inih does not report line numbers to its
 * handler, so read() supplies one line a call and counts them. */
struct ini_source {
  std::istringstream text;
  std::vector<ini_line> lines;
  int line_number = 0;

  static char* read(char* buffer, int size, void* context) {
    auto* source = static_cast<ini_source*>(context);
    std::string line;
    if (!std::getline(source->text, line))
      return nullptr;
    ++source->line_number;
    // A line that exceeds the buffer of inih is truncated; 2 bytes are for the
    // line end and the terminator.
    const size_t length =
        std::min(line.size(), static_cast<size_t>(std::max(size - 2, 0)));
    std::memcpy(buffer, line.data(), length);
    buffer[length] = '\n';
    buffer[length + 1] = '\0';
    return buffer;
  }

  static int handle(void* context,
                    const char* section,
                    const char* name,
                    const char* value) {
    auto* source = static_cast<ini_source*>(context);
    source->lines.push_back({section, name, value, source->line_number});
    return 1;
  }
};

}  // namespace

result<std::vector<ini_line>> parse_ini(const std::string& text,
                                        const std::string& origin) {
  ini_source source;
  source.text.str(text);
  const int first_bad_line = ini_parse_stream(&ini_source::read, &source,
                                              &ini_source::handle, &source);
  if (first_bad_line != 0) {
    return fail(result_code::declaration_invalid,
                "not an INI line, expected [section] or name = value", origin,
                first_bad_line);
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
