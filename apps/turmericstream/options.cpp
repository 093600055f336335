/** @file options.cpp Options of the operators' command, by getopt_long. */
#include <fmt/format.h>
#include <getopt.h>

#include <sstream>

#include "cli_base.h"
#include "turmeric/state/ini_func.h"
#include "turmeric/state/service_type.h"

namespace turmeric::cli {
namespace {

constexpr const char* options_help =
    "\nOptions:\n"
    "  -c, --config FILE        INI file whose [operator] section sets\n"
    "                           platform, balancers, cluster, key, author\n"
    "  -p, --platform IP:PORT   address of the platform's object API\n"
    "  -b, --balancers LIST     admin addresses, IP:PORT,...\n"
    "  -t, --template FILE      template; may stand more than once\n"
    "  -k, --key HEX            shared key of the cluster\n"
    "  -n, --cluster NAME       name of the cluster\n"
    "  -a, --author NAME        written into changes\n"
    "  -o, --output FILE        file to write a report to (HTML)\n"
    "  -f, --flow IP:PORT       caller's address of a flow\n"
    "  -w, --wait               wait until the change is in force\n"
    "  -j, --json               print JSON\n"
    "      --page               print a documentation page\n"
    "  -h, --help               print this text\n";

result<std::vector<endpoint>> parse_list(const std::string& text) {
  std::vector<endpoint> out;
  std::istringstream rest(text);
  std::string item;
  while (std::getline(rest, item, ',')) {
    auto parsed = parse_endpoint(item);
    if (!parsed)
      return boost::outcome_v2::failure(parsed.error());
    out.push_back(parsed.value());
  }
  return out;
}

/** Sets one option by its long name. */
result<void> set(cli_options* o,
                 const std::string& name,
                 const std::string& value) {
  if (name == "platform") {
    auto parsed = parse_endpoint(value);
    if (!parsed)
      return boost::outcome_v2::failure(parsed.error());
    o->platform = parsed.value();
  } else if (name == "balancers") {
    auto parsed = parse_list(value);
    if (!parsed)
      return boost::outcome_v2::failure(parsed.error());
    o->balancers = parsed.value();
  } else if (name == "cluster") {
    o->cluster = value;
  } else if (name == "key") {
    o->key = value;
  } else if (name == "author") {
    o->author = value;
  } else {
    return fail(result_code::unknown_setting, "no setting operator." + name);
  }
  return boost::outcome_v2::success();
}

result<void> read_config(cli_options* o) {
  auto lines = read_ini(o->config);
  if (!lines)
    return boost::outcome_v2::failure(lines.error());
  for (const auto& line : lines.value()) {
    result<void> done =
        line.section == "operator"
            ? set(o, line.name, line.value)
            : fail(result_code::unknown_setting,
                   fmt::format("no section [{}] here", line.section));
    if (done)
      continue;
    error e = done.error();
    e.file = o->config;
    e.line = line.line_number;
    return boost::outcome_v2::failure(e);
  }
  return boost::outcome_v2::success();
}

const option long_options[] = {
    {"config", required_argument, nullptr, 'c'},
    {"platform", required_argument, nullptr, 'p'},
    {"balancers", required_argument, nullptr, 'b'},
    {"template", required_argument, nullptr, 't'},
    {"key", required_argument, nullptr, 'k'},
    {"cluster", required_argument, nullptr, 'n'},
    {"author", required_argument, nullptr, 'a'},
    {"output", required_argument, nullptr, 'o'},
    {"flow", required_argument, nullptr, 'f'},
    {"wait", no_argument, nullptr, 'w'},
    {"json", no_argument, nullptr, 'j'},
    {"page", no_argument, nullptr, 'P'},
    {nullptr, 0, nullptr, 0},
};

}  // namespace

std::string help_of(const subcommand& command) {
  return fmt::format("Usage: turmericstream {} [OPTIONS] {}\n\n{}.\n{}",
                     command.name, command.arguments, command.description,
                     options_help);
}

result<cli_options> parse_options(int argc, char** argv) {
  cli_options o;
  std::vector<std::pair<std::string, std::string>> given;
  for (int c = 0; (c = getopt_long(argc, argv, "c:p:b:t:k:n:a:o:f:wj",
                                   long_options, nullptr)) != -1;) {
    switch (c) {
      case 'c':
        o.config = optarg;
        break;
      case 't':
        o.templates.push_back(optarg);
        break;
      case 'o':
        o.output = optarg;
        break;
      case 'f':
        o.flow = optarg;
        break;
      case 'w':
        o.wait = true;
        break;
      case 'j':
        o.json = true;
        break;
      case 'P':
        o.page = true;
        break;
      case '?':
        return fail(result_code::usage, "unknown option; try --help");
      default:
        for (const option& row : long_options) {
          if (row.val == c && row.name != nullptr)
            given.emplace_back(row.name, optarg);
        }
    }
  }
  if (!o.config.empty()) {
    auto read = read_config(&o);
    if (!read)
      return boost::outcome_v2::failure(read.error());
  }
  // The command line goes before the file.
  for (const auto& [name, value] : given) {
    auto done = set(&o, name, value);
    if (!done)
      return boost::outcome_v2::failure(done.error());
  }
  for (int i = optind; i < argc; ++i)
    o.arguments.push_back(argv[i]);
  return o;
}

}  // namespace turmeric::cli
