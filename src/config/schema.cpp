// Checks sections against the published schemas, which are compiled in.
#include <map>
#include <string_view>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include "config/config.h"
#include "schemas.h"

namespace rookproxy {
namespace {

using Error = valijson::ValidationResults::Error;

// The deepest error names the invalid key; those above it only say that something below is invalid.
Error deepest_error(valijson::ValidationResults& results) {
  Error error;
  Error deepest;
  while (results.popError(error)) {
    if (error.context.size() >= deepest.context.size()) deepest = error;
  }
  return deepest;
}

std::string without_delimiters(const std::string& text, char first, char last) {
  const bool delimited = text.size() >= 2 && text.front() == first && text.back() == last;
  return delimited ? text.substr(1, text.size() - 2) : text;
}

// The key's path within the document. valijson writes paths as '<root>', '["key"]', '[0]'.
std::string key_path(const std::string& section_name, const Error& error) {
  std::string path = section_name;
  for (std::size_t index = 1; index < error.context.size(); ++index) {
    path += "." + without_delimiters(without_delimiters(error.context[index], '[', ']'), '"', '"');
  }
  return path;
}

}  // namespace

void check_schema(const nlohmann::json& section, const std::string& name) {
  using valijson::adapters::NlohmannJsonAdapter;
  const std::map<std::string_view, const char*> schemas{
      {"access", kAccessSchema}, {"tls", kTlsSchema}, {"fleet", kFleetSchema}};
  const auto document = nlohmann::json::parse(schemas.at(name));
  valijson::Schema schema;
  valijson::SchemaParser().populateSchema(NlohmannJsonAdapter(document), schema);
  valijson::ValidationResults results;
  valijson::Validator validator;
  if (validator.validate(schema, NlohmannJsonAdapter(section), &results)) return;
  const Error error = deepest_error(results);
  throw ConfigError(key_path(name, error), error.description);
}

}  // namespace rookproxy
