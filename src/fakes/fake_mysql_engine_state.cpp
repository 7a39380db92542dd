#include "fakes/fake_mysql_engine_state.h"

namespace rookproxy::test {

FakeMysqlEngineState::Registration FakeMysqlEngineState::register_connection(std::uint16_t client_port) {
  const std::lock_guard lock(mutex_);
  const Registration registration{next_connection_id_++, std::make_shared<std::atomic<bool>>(false)};
  kill_flags_[registration.connection_id] = registration.kill_flag;
  client_ports_[registration.connection_id] = client_port;
  return registration;
}

bool FakeMysqlEngineState::has_connection(std::uint32_t connection_id, std::uint16_t client_port) {
  const std::lock_guard lock(mutex_);
  const auto found = client_ports_.find(connection_id);
  return found != client_ports_.end() && found->second == client_port;
}

void FakeMysqlEngineState::kill_query(std::uint32_t connection_id) {
  const std::lock_guard lock(mutex_);
  const auto found = kill_flags_.find(connection_id);
  if (found != kill_flags_.end()) *found->second = true;
}

void FakeMysqlEngineState::record_executed(const std::string& statement) {
  const std::lock_guard lock(mutex_);
  executed_statements_.push_back(statement);
}

void FakeMysqlEngineState::record_prepared(const std::string& statement) {
  const std::lock_guard lock(mutex_);
  prepared_statements_.push_back(statement);
}

std::vector<std::string> FakeMysqlEngineState::executed_statements() {
  const std::lock_guard lock(mutex_);
  return executed_statements_;
}

std::vector<std::string> FakeMysqlEngineState::prepared_statements() {
  const std::lock_guard lock(mutex_);
  return prepared_statements_;
}

}  // namespace rookproxy::test
