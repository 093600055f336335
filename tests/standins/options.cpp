/** @file options.cpp Command lines and signals of the stand-ins. */
#include "options.h"

#include <fmt/format.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <sstream>
#include <thread>

#include "turmeric/state/service_type.h"

namespace turmeric::tests {
namespace {

volatile std::sig_atomic_t stop_signalled = 0;

void on_signal(int) {
  stop_signalled = 1;
}

[[noreturn]] void exit_with_error(const std::string& message) {
  fmt::print(stderr, "{}\n", message);
  std::exit(2);
}

}  // namespace

option_map::option_map(int argc, char** argv) {
  for (int i = 1; i < argc; i += 2) {
    const std::string name = argv[i];
    if (name.rfind("--", 0) != 0 || i + 1 >= argc)
      exit_with_error("expected arguments in pairs --NAME VALUE, but got " +
                      name);
    values_[name.substr(2)] = argv[i + 1];
  }
}

std::string option_map::text(const std::string& name,
                             const std::string& fallback) const {
  const auto it = values_.find(name);
  return it == values_.end() ? fallback : it->second;
}

int64_t option_map::number(const std::string& name, int64_t fallback) const {
  const std::string value = text(name);
  return value.empty() ? fallback : std::strtoll(value.c_str(), nullptr, 10);
}

endpoint option_map::address(const std::string& name) const {
  auto parsed = parse_endpoint(text(name));
  if (!parsed)
    exit_with_error("--" + name + ": " + to_text(parsed.error()));
  return parsed.value();
}

std::vector<std::string> split(const std::string& text) {
  std::vector<std::string> items;
  std::istringstream rest(text);
  std::string item;
  while (std::getline(rest, item, ','))
    items.push_back(item);
  return items;
}

void install_stop_handlers() {
  std::signal(SIGTERM, on_signal);
  std::signal(SIGINT, on_signal);
  std::signal(SIGPIPE, SIG_IGN);
}

bool stop_requested() {
  return stop_signalled != 0;
}

void wait_for_stop() {
  while (!stop_requested())
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
}

}  // namespace turmeric::tests
