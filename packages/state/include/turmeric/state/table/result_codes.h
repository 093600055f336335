/** @file result_codes.h Table of numbered result codes.
 *
 * Columns: identifier, number, whether it ends a request, description. The
 * number is also the exit code of the operators' command (0 to 125).
 */
TURMERIC_RESULT(ok, 0, true, "Done; for a request, the answer is complete.")
TURMERIC_RESULT(usage, 2, false, "The command line is invalid.")
TURMERIC_RESULT(unknown_setting, 10, false, "There is no such setting.")
TURMERIC_RESULT(setting_out_of_range,
                11,
                false,
                "The setting is outside its range or of the wrong type.")
TURMERIC_RESULT(file_unreadable, 12, false, "The file cannot be read.")
TURMERIC_RESULT(declaration_invalid,
                13,
                false,
                "The declaration is invalid; no part of it was applied.")
TURMERIC_RESULT(template_missing,
                14,
                false,
                "The client account names a template that does not exist.")
TURMERIC_RESULT(change_too_large,
                15,
                false,
                "The change does not fit one datagram; split the account.")
TURMERIC_RESULT(setting_conflict,
                16,
                false,
                "Two settings contradict each other.")
TURMERIC_RESULT(conflict,
                20,
                false,
                "Another operator changed the same keys first; plan again.")
TURMERIC_RESULT(platform_unavailable,
                21,
                false,
                "The platform did not answer within the retry budget.")
TURMERIC_RESULT(commit_unknown,
                22,
                false,
                "The platform's reply was lost; the commit may be in effect.")
TURMERIC_RESULT(balancer_unreachable,
                23,
                false,
                "A balancer did not answer the operators' command.")
TURMERIC_RESULT(not_found, 24, false, "There is no object of that name.")
TURMERIC_RESULT(format_too_new,
                25,
                false,
                "The object was written by a newer version; update first.")
TURMERIC_RESULT(refused_busy,
                40,
                true,
                "Not run: the target cannot start it before the deadline.")
TURMERIC_RESULT(refused_stopping,
                41,
                true,
                "Not run: the balancer is stopping or stale; retry at once.")
TURMERIC_RESULT(refused_target_gone,
                42,
                true,
                "Not run: target gone, draining, or availability zone out.")
TURMERIC_RESULT(refused_by_target, 43, true, "Not run: the target refused it.")
TURMERIC_RESULT(refused_no_target,
                44,
                true,
                "Not run: the service has no reachable target.")
TURMERIC_RESULT(refused_unknown_service,
                45,
                true,
                "Not run: no such service in the configuration.")
TURMERIC_RESULT(cancelled, 46, true, "Not run: cancelled before it started.")
TURMERIC_RESULT(deadline_passed,
                47,
                true,
                "Not run: the deadline passed before it started.")
TURMERIC_RESULT(refused_moved,
                48,
                true,
                "Not run: the target's home is another balancer now; retry.")
TURMERIC_RESULT(refused_expired,
                49,
                true,
                "Not run: the permit had expired; retry at once.")
TURMERIC_RESULT(unknown_outcome,
                50,
                true,
                "It may have run once and will not run again.")
TURMERIC_RESULT(too_large, 51, true, "Not run: the body exceeds the limit.")
TURMERIC_RESULT(bad_packet, 60, false, "The packet could not be decoded.")
TURMERIC_RESULT(wrong_cluster, 61, false, "The packet is from another cluster.")
TURMERIC_RESULT(bad_signature, 62, false, "The packet's tag does not match.")
TURMERIC_RESULT(wrong_service,
                63,
                false,
                "The packet's target does not belong to its service.")
TURMERIC_RESULT(hop_limit, 64, false, "The packet was forwarded too often.")
TURMERIC_RESULT(no_route,
                65,
                false,
                "No current table, or no balancer to forward to.")
TURMERIC_RESULT(upgrade_unsafe,
                70,
                false,
                "Replacing another balancer now would not keep the bounds.")
TURMERIC_RESULT(internal, 99, false, "An error inside the program.")
