// The scenario language: one step a line, against real processes on loopback. '#' starts a comment.
//
//   engines A B ...                engines that the scenario plays, speaking lines
//   mysql-engines A B ...          engines that speak MySQL by themselves (MysqlStandIn)
//   set /a/b VALUE                 a key of the configuration (JSON pointer and value), before start
//   start                          the dispatcher; waits until it serves
//   directory A=up B=draining ...  what the directory lists from now on; waits until the dispatcher has it
//   move directory                 to another address, the next 'directory' is told there
//   configure [TEXT]               writes the configuration anew, as it stands or as that text
//   expect log TEXT                waits until the dispatcher's log holds it
//   client C | mysql C [SCHEMA|denied]    connects a client to the front for frames, or logs in to that for MySQL
//   send C request STREAM CLASS TTL TEXT | send C fields STREAM NAME=VALUE,... TEXT
//   send C abandon STREAM | send C ready STREAM | send C hex BYTES
//   expect C served|refused|failed STREAM [TEXT] | expect C ready CODE | expect C goaway | expect C error
//   expect A REQ TEXT              the engine's next command, its fields and body in part; also FETCH, END,
//   STOP send A WORD FIELDS [TEXT]      an answer to the engine's last REQ; send A raw BYTES send C query
//   TEXT | send C prepare TEXT | send C execute N [VALUE] | send C again N [VALUE] (types not bound) send C
//   long N PARAMETER TEXT | send C command HEX expect C ok | expect C prepared | expect C error CODE [TEXT] |
//   expect C rows N expect executed N TEXT         that often, over all MySQL engines; expect prepared N
//   TEXT; expect duplicates N expect NAME closed | expect NAME nothing MS | close NAME | close NAME listener | close NAME door (takes no more)
//   | wait MS signal TERM|HUP | expect dispatcher exit CODE
#pragma once

#include <string>

namespace rookproxy::test {

// Plays it; throws std::runtime_error with the line at fault and the dispatcher's log.
void play(const std::string& scenario);

}  // namespace rookproxy::test
