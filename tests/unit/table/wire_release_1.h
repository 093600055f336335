/** @file wire_release_1.h Datagrams of the examples in wire_examples.h as the
 * first release, dc8ddeb, encodes them, in hex.
 *
 * Columns: name of the example, datagram. Rows are never changed: a release
 * that writes another form gets a table of its own.
 */
// clang-format off
WIRE_EXAMPLE(hello,
             "950103cf7d263ba9f3ffb622009cad66726f6e742d6e6f7274682d31a56e6f72"
             "746892ce0a010001cd1e28cf00064459416240012ac3939365cf111122223333"
             "4444039366cf5555666677778888039367cf99990000aaaabbbb039292ce0a01"
             "0002cd1e2892ce0a020003cd1e2805020104fc5bf1acbe86f7345ef69d13687a"
             "6f3c")
WIRE_EXAMPLE(targets,
             "950103cf7d263ba9f3ffb622019bcf0006445941624002005a6691a7656e7472"
             "792d31916591a7656e7472792d329166919aac692d37383666343433323964cf"
             "000000786f44329da56e6f746573a56e6f72746892ce0a024011cd21c602c3cf"
             "0000019ab697e87bce0016e3604d900361d2791c33d9f935718f2fef39f2a702")
WIRE_EXAMPLE(routing,
             "950103cf7d263ba9f3ffb622019bcf0006445941624002015a6691a7656e7472"
             "792d31916591a7656e7472792d329166909194119197a46361726492cec61200"
             "01cd20fb03ce002625a0ce00061a80029292a56e6f7465730392a76172636869"
             "7665019193a56e6f746573cd07d0cb4016000000000000ce00e4e1c0039035a6"
             "ab1d8acf68cb112f63d4c864d4")
WIRE_EXAMPLE(withdrawals,
             "950103cf7d263ba9f3ffb622019bcf0006445941624002025a6691a7656e7472"
             "792d31916591a7656e7472792d329166909003d56fe93b94f8371703aed6f0dd"
             "aac0a6")
WIRE_EXAMPLE(reports,
             "950103cf7d263ba9f3ffb622039492ce0a010001cd1e28cf0006445941624001"
             "099195ce1234abcd01cd61a8ce001e848001d7d30647b4d2211023b6f4b8bb50"
             "ee26")
WIRE_EXAMPLE(fragment,
             "950103cf7d263ba9f3ffb6220294070103b36279746573206f66206120667261"
             "676d656e74e44d4f5974af6d4a2e228d49a47e688b")
// clang-format on
