/** @file requests_mode.h Entry point of the requests mode's module. */
#ifndef TURMERICD_REQUESTS_MODE_H_
#define TURMERICD_REQUESTS_MODE_H_

/** File of the module, beside the daemon. */
constexpr const char* requests_module = "turmericd_requests.so";
/** Name of the function below in the module. */
constexpr const char* requests_entry = "turmericd_run_requests";

/** Runs one balancer of the requests mode until it is told to stop.
 * @return The exit code. */
extern "C" int turmericd_run_requests(const char* settings_path);

#endif  // TURMERICD_REQUESTS_MODE_H_
