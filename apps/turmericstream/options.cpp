/** @file options.cpp Parses the options of the operators' command. */
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
    "  -t, --template FILE      template file; may be repeated\n"
    "  -k, --key HEX            shared key of the cluster\n"
    "  -n, --cluster NAME       name of the cluster\n"
    "  -a, --author NAME        recorded as the author of changes\n"
    "  -o, --output FILE        file to write a report to (HTML)\n"
    "  -f, --flow IP:PORT       address of the flow's caller\n"
    "  -w, --wait               wait until all balancers have the\n"
    "                           change in force\n"
    "  -j, --json               print JSON\n"
    "      --page               print the page for the documentation\n"
    "  -h, --help               print this text\n";

result<std::vector<endpoint>> parse_endpoint_list(const std::string& text) {
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

/** Sets an option that may also be in the config file. @p name is its long
 * name. */
result<void> set_option(cli_options* options,
                        const std::string& name,
                        const std::string& value) {
  if (name == "platform") {
    auto parsed = parse_endpoint(value);
    if (!parsed)
      return boost::outcome_v2::failure(parsed.error());
    options->platform = parsed.value();
  } else if (name == "balancers") {
    auto parsed = parse_endpoint_list(value);
    if (!parsed)
      return boost::outcome_v2::failure(parsed.error());
    options->balancers = parsed.value();
  } else if (name == "cluster") {
    options->cluster = value;
  } else if (name == "key") {
    options->key = value;
  } else if (name == "author") {
    options->author = value;
  } else {
    return fail(result_code::unknown_setting,
                "unknown setting operator." + name);
  }
  return boost::outcome_v2::success();
}

/** Reads the [operator] section of the config file.
 * @return The first error, with the file and the line. */
result<void> read_config(cli_options* options) {
  auto lines = read_ini(options->config);
  if (!lines)
    return boost::outcome_v2::failure(lines.error());
  for (const auto& line : lines.value()) {
    result<void> outcome =
        line.section == "operator"
            ? set_option(options, line.name, line.value)
            : fail(result_code::unknown_setting,
                   fmt::format("unknown section [{}], expected [operator]",
                               line.section));
    if (outcome)
      continue;
    error e = outcome.error();
    e.file = options->config;
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
                     command.name, command.argument_syntax, command.description,
                     options_help);
}

result<cli_options> parse_options(int argc, char** argv) {
  cli_options options;
  std::vector<std::pair<std::string, std::string>> from_command_line;
  for (int c = 0; (c = getopt_long(argc, argv, "c:p:b:t:k:n:a:o:f:wj",
                                   long_options, nullptr)) != -1;) {
    switch (c) {
      case 'c':
        options.config = optarg;
        break;
      case 't':
        options.templates.push_back(optarg);
        break;
      case 'o':
        options.output = optarg;
        break;
      case 'f':
        options.flow = optarg;
        break;
      case 'w':
        options.wait = true;
        break;
      case 'j':
        options.json = true;
        break;
      case 'P':
        options.page = true;
        break;
      case '?':
        return fail(result_code::usage,
                    "unknown option or missing value; see --help");
      default:  // An option that may also be in the config file.
        for (const option& row : long_options) {
          if (row.val == c && row.name != nullptr)
            from_command_line.emplace_back(row.name, optarg);
        }
    }
  }
  if (!options.config.empty()) {
    auto loaded = read_config(&options);
    if (!loaded)
      return boost::outcome_v2::failure(loaded.error());
  }
  // Options of the command line override those of the file.
  for (const auto& [name, value] : from_command_line) {
    auto outcome = set_option(&options, name, value);
    if (!outcome)
      return boost::outcome_v2::failure(outcome.error());
  }
  for (int i = optind; i < argc; ++i)
    options.arguments.push_back(argv[i]);
  return options;
}

}  // namespace turmeric::cli
