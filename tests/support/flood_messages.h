// Small messages of clients that send at full speed.
#pragma once

#include <cstdint>
#include <string>

#include "fakes/test_connection.h"
#include "support/flooding_client.h"

namespace rookproxy::test {

// Returns a message by its number. Numbers begin at 1 on each connection.
using MakeMessage = std::string (*)(std::uint32_t number);

// Returns a function that appends messages until there is enough to send.
[[nodiscard]] FloodingClient::MakeBytes repeat(MakeMessage make_message);

// A name that no message has had, which is also a valid call id.
[[nodiscard]] std::string random_name();

// Frames. A cancelled request has the longest timeout that its class may have.
[[nodiscard]] std::string readiness_query(std::uint32_t number);
[[nodiscard]] std::string request_without_id(std::uint32_t number);
[[nodiscard]] std::string request_of_unknown_class(std::uint32_t number);
[[nodiscard]] std::string request_of_new_table(std::uint32_t number);
[[nodiscard]] std::string cancelled_request(std::uint32_t number);

// MySQL commands.
[[nodiscard]] std::string ping(std::uint32_t number);
[[nodiscard]] std::string unknown_command(std::uint32_t number);
[[nodiscard]] std::string close_unknown_statement(std::uint32_t number);
[[nodiscard]] std::string query_of_new_table(std::uint32_t number);

// Opens a connection and logs in to the MySQL frontend.
[[nodiscard]] TestConnection connect_and_log_in(std::uint16_t port);

}  // namespace rookproxy::test
