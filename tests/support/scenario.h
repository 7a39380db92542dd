// clang-format off
// The scenario language: one step a line, against real processes on loopback. '#' starts a comment.
//
//   engines A B ...                 engines that the scenario plays, speaking lines
//   mysql-engines A B ...           engines that speak MySQL by themselves (FakeMysqlEngine)
//   lines-engines A B ...           engines that speak lines and answer at once by themselves (AutoReplyLineEngine)
//   rotate under load from N        the keys old and new change places while N connections ask; nobody valid is refused
//   set /a/b VALUE                  a key of the configuration (JSON pointer and value), before start or configure
//   confine                         before start: under what the platform refuses (system_call_filter.h)
//   start                           the dispatcher; waits until it serves
//   configure [TEXT]                writes the configuration anew, as it stands or as that text
//   signal TERM|INT|HUP|KILL|STOP|CONT   to the dispatcher
//   pass sockets                    before start: the scenario holds the fronts' sockets, processes inherit them
//   upgrade                         a second process beside the first, which is 'old' from now on
//   signal old TERM|KILL | call old TEXT
//   directory A=up B=draining ...   what the directory lists from now on; waits until the dispatcher has it
//   move directory [silent]         to another address; the next 'directory' is told there; silent: never answered
//   descriptors N                   before start: the process's own limit
//   client C | mysql C [SCHEMA]     connects a client to the front for frames, or logs in to that for MySQL
//   mysql C denied                  the log-in must fail
//   knock C                         connects to the MySQL front and says nothing
//   send C request STREAM CLASS TTL TEXT | send C fields STREAM NAME=VALUE,... TEXT
//                                   STREAM may be + (a number above 1000, each once) and the call 'new'
//   send C slowly MS request ...    the same in ten pieces, over that time
//   send C begin request ... | send C finish     its first half, the rest of it
//   crowd N                          N clients that connect and say nothing
//   idlers N                         clients idler0, idler1, ... that ask once each, are served and stay
//   send C abandon STREAM | send C ready STREAM | send C hex BYTES
//   expect C served|refused|failed STREAM [TEXT] | expect C ready CODE | expect C goaway | expect C error
//   expect C goaway among           behind other frames or before them; they are kept
//   expect C final STREAM           any of the three
//   expect C eof                    an orderly end, no reset, and nothing unread before it
//   expect C pushback STREAM MS     refused, and to stay away for so long
//   expect A REQ TEXT               the engine's next command, its fields and body in part; also FETCH, END, STOP
//   fill A | let A                  A's queue of connections is full: the kernel drops tries to connect; no more so
//   absorb A MS                     takes the engine's commands until none has come for so long
//   repeat N STEP                   that step so often
//   send A WORD FIELDS [TEXT]       an answer to the engine's last REQ
//   send A begin WORD FIELDS [TEXT] | send A finish          its first half, the rest of it
//   expect A requests N             so many REQ have come in all
//   send A raw BYTES                on the connection of the engine's last command
//   send C query TEXT | send C prepare TEXT | send C command HEX
//   send C execute N [VALUE] | send C again N [VALUE] (types not bound) | send C long N PARAMETER TEXT
//   expect C ok | expect C prepared | expect C error CODE [TEXT] | expect C rows N
//   expect executed N TEXT          that often, over all MySQL engines; also expect prepared N TEXT
//   expect duplicates N             loads that ran more than once
//   expect NAME closed | expect NAME nothing MS | close NAME | wait MS
//   close A listener | close A door both take no more connections; the first ends those that are open
//   call TEXT                       one line to the operators' address; its answer is kept
//   expect answer TEXT              that answer, in part
//   expect figure NAME=VALUE        waits until METRICS shows svc.NAME=VALUE
//   access                          callers are identified from the start on (CredentialFixture::access_section)
//   key K ES256|RS256|EdDSA | publish K[:NBF:EXP] ...     makes a key; the set of those keys is in place
//   token T K ROLE [JSON]           a token signed with K; the claims changed by that merge patch ("exp":"+3": in 3 s)
//   revoke jti|sub NAME | spoil TEXT                      TEXT in place of the set of keys
//   expect nolog TEXT               the log does not hold it
//   tls frames|mysql|both [none|optional|required] [crl]  TLS before those fronts, and clients' certificates
//   certificate NAME [ALTERNATIVE|-] [FROM TO] [stranger] [server]   NAME is its common name; times in s from now
//   revoke certificate NAME | crl TO [FROM]   a new list; its times | renew   the server's certificate and key
//   client C tls [CERTIFICATE]
//   mysql C tls [USER|-] [as TOKEN] [with CERTIFICATE] [in SCHEMA] [denied]
//   send C user NAME TOKEN [denied]          COM_CHANGE_USER
//   driver FILE T USER              a script of tests/drivers, with port, user and token
//   send C as T request ...         with that token, or with T itself as one
//   expect C denied STREAM REASON   refused for that reason
//   hold N [TEXT]                   N connections to the operators' address, with no whole call on them
//   expect log TEXT                 waits until the dispatcher's log holds it
//   expect dispatcher exit CODE | expect old exit CODE | expect old log TEXT
// clang-format on
#pragma once

#include <string>

namespace rookproxy::test {

/// Plays a scenario against real processes; throws std::runtime_error with the line at fault and the logs.
void run_scenario(const std::string& scenario);

}  // namespace rookproxy::test
