#include "support/scenario_prepared_steps.h"

#include <sstream>
#include <string_view>

namespace rookproxy::test {
namespace {

using Lines = std::vector<std::string>;

std::string read_word(std::istream& arguments) {
  std::string word;
  arguments >> word;
  return word;
}

// The remaining text with its escapes, which the steps that get it will read.
std::string read_remaining(std::istream& arguments) {
  std::string text;
  std::getline(arguments >> std::ws, text);
  return text;
}

// frames-dispatcher A B ...
Lines start_with_frames_client(std::istream& arguments) {
  return {"engines " + read_remaining(arguments), "start", "client c"};
}

// mysql-dispatcher A B ...
Lines start_with_mysql_client(std::istream& arguments) {
  return {"mysql-engines " + read_remaining(arguments), "start", "mysql m"};
}

// access-key K ALGORITHM
Lines require_tokens_of_key(std::istream& arguments) {
  const std::string name = read_word(arguments);
  return {"access", "key " + name + " " + read_word(arguments), "publish " + name};
}

// clients C D ...
Lines connect_clients(std::istream& arguments) {
  Lines lines;
  for (std::string name; arguments >> name;) lines.push_back("client " + name);
  return lines;
}

// ready-clients C D ...
Lines connect_ready_clients(std::istream& arguments) {
  Lines lines;
  for (std::string name; arguments >> name;) {
    lines.push_back("client " + name);
    lines.push_back("send " + name + " ready 7");
    lines.push_back("expect " + name + " ready 0");
  }
  return lines;
}

// answer A C STREAM TEXT
Lines answer_request(std::istream& arguments) {
  const std::string engine = read_word(arguments);
  const std::string client = read_word(arguments);
  const std::string stream = read_word(arguments);
  const std::string text = read_remaining(arguments);
  return {"send " + engine + " data parts=1 " + text, "expect " + client + " served " + stream + " " + text};
}

// denied-lookup C TOKEN STREAM REASON
Lines send_denied_lookup(std::istream& arguments) {
  const std::string client = read_word(arguments);
  const std::string token = read_word(arguments);
  const std::string stream = read_word(arguments);
  const std::string reason = read_word(arguments);
  return {"send " + client + " as " + token + " request " + stream + " lookup 3000 SELECT 1",
          "expect " + client + " denied " + stream + " " + reason};
}

// reload [TEXT]
Lines reload_configuration(std::istream& arguments) {
  return {"configure " + read_remaining(arguments), "signal HUP"};
}

// One verb; the stream stands behind it.
struct PreparedStep {
  std::string_view verb;
  Lines (*expand)(std::istream& arguments);
};

constexpr PreparedStep kPreparedSteps[] = {
    {"frames-dispatcher", start_with_frames_client}, {"mysql-dispatcher", start_with_mysql_client},
    {"access-key", require_tokens_of_key},           {"clients", connect_clients},
    {"ready-clients", connect_ready_clients},        {"answer", answer_request},
    {"denied-lookup", send_denied_lookup},           {"reload", reload_configuration},
};

}  // namespace

std::optional<std::vector<std::string>> expand_prepared_step(const std::string& line) {
  std::istringstream arguments(line);
  const std::string verb = read_word(arguments);
  for (const PreparedStep& step : kPreparedSteps) {
    if (step.verb == verb) return step.expand(arguments);
  }
  return std::nullopt;
}

}  // namespace rookproxy::test
