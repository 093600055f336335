/** @file main.cpp The balancer daemon. */
#include <dlfcn.h>
#include <fmt/format.h>
#include <getopt.h>

#include <csignal>
#include <cstdlib>

#include "requests_mode.h"
#include "turmeric/state/log_func.h"
#include "turmeric/transport/forwarder_base.h"

namespace turmeric {
namespace {

/** Environment variable with the path of the settings file; --settings
 * overrides it. */
constexpr const char* settings_path_variable = "TURMERICSTREAM_SETTINGS";
constexpr std::string_view forwarding_mode = "forwarding";
constexpr std::string_view requests_mode = "requests";

constexpr const char* usage_text =
    "Usage: turmericd [--settings FILE]\n"
    "\n"
    "Runs one balancer until SIGTERM or `turmericstream instance drain`.\n"
    "\n"
    "  -s, --settings FILE   INI file with the settings; default: the path in\n"
    "                        the environment variable TURMERICSTREAM_SETTINGS\n"
    "  -S, --help-settings   print the table of settings\n"
    "  -h, --help            print this text\n";

/** Prints an error to standard error.
 * @return The exit code. */
int print_error(const error& e) {
  fmt::print(stderr, "turmericd: {}\n", to_text(e));
  return static_cast<int>(e.code);
}

/** Loads the module of the requests mode and runs it.
 * @return The exit code; that of `internal` if the module cannot be loaded. */
int run_requests(const std::string& settings_path) {
  void* module = dlopen(requests_module_file, RTLD_NOW);
  void* entry =
      module == nullptr ? nullptr : dlsym(module, requests_entry_symbol);
  if (entry == nullptr)
    return print_error(error{result_code::internal, dlerror(), "", 0});
  const auto run_module =
      reinterpret_cast<decltype(&turmericd_run_requests)>(entry);
  return run_module(settings_path.c_str());
}

/** Runs the mode that instance.mode selects.
 * @return The exit code. */
int run_mode(const std::string& path) {
  auto loaded = read_settings(path);
  if (!loaded)
    return print_error(loaded.error());
  const settings& s = loaded.value();
  std::signal(SIGPIPE, SIG_IGN);
  const std::string& mode = s.text(setting::instance_mode);
  if (mode == requests_mode)
    return run_requests(path);
  if (mode != forwarding_mode) {
    return print_error(
        error{result_code::setting_out_of_range,
              fmt::format("instance.mode is '{}', expected {} or {}", mode,
                          requests_mode, forwarding_mode),
              path, 0});
  }
  const log_level level = log_level_from(s.text(setting::log_level));
  if (level == log_level::end) {
    return print_error(
        error{result_code::setting_out_of_range,
              "log.level is not a log level: " + s.text(setting::log_level),
              path, 0});
  }
  set_log_instance(s.text(setting::instance_name));
  set_log_level(log_category::end, level);
  auto outcome = run_forwarder(s, path, [path] { return read_settings(path); });
  return outcome ? 0 : print_error(outcome.error());
}

int run_command_line(int argc, char** argv) {
  const option options[] = {{"settings", required_argument, nullptr, 's'},
                            {"help-settings", no_argument, nullptr, 'S'},
                            {"help", no_argument, nullptr, 'h'},
                            {nullptr, 0, nullptr, 0}};
  const char* path_from_environment = std::getenv(settings_path_variable);
  std::string path =
      path_from_environment == nullptr ? "" : path_from_environment;
  for (int c = 0;
       (c = getopt_long(argc, argv, "s:Sh", options, nullptr)) != -1;) {
    switch (c) {
      case 's':
        path = optarg;
        break;
      case 'S':
        fmt::print("{}", settings_help());
        return 0;
      case 'h':
        fmt::print("{}", usage_text);
        return 0;
      default:
        fmt::print(stderr, "{}", usage_text);
        return static_cast<int>(result_code::usage);
    }
  }
  if (path.empty()) {
    fmt::print(stderr, "{}", usage_text);
    return static_cast<int>(result_code::usage);
  }
  return run_mode(path);
}

}  // namespace
}  // namespace turmeric

int main(int argc, char** argv) {
  return turmeric::run_command_line(argc, argv);
}
