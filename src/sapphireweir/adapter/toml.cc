#include "adapter/toml.h"

#include <cstring>
#include <sstream>
#include <string>
#include <toml++/toml.h>

/* The TOML parser is a C++ library, since no C library for TOML is packaged.
 * This is the only file in C++. */

/* Converts a TOML value to JSON; dates and times become null. */
static json_t *convert(const toml::node &node);

static json_t *
convert_table(const toml::table &table)
{
    json_t *object = json_object();
    for (const auto &[key, value] : table) {
        json_object_set_new(object, std::string(key.str()).c_str(),
                            convert(value));
    }
    return object;
}

static json_t *
convert_array(const toml::array &array)
{
    json_t *list = json_array();
    for (const auto &value : array) {
        json_array_append_new(list, convert(value));
    }
    return list;
}

static json_t *
convert(const toml::node &node)
{
    if (const auto *table = node.as_table()) {
        return convert_table(*table);
    }
    if (const auto *array = node.as_array()) {
        return convert_array(*array);
    }
    if (const auto *text = node.as_string()) {
        return json_string(text->get().c_str());
    }
    if (const auto *number = node.as_integer()) {
        return json_integer(number->get());
    }
    if (const auto *number = node.as_floating_point()) {
        return json_real(number->get());
    }
    if (const auto *flag = node.as_boolean()) {
        return json_boolean(flag->get());
    }
    return json_null();
}

extern "C" json_t *
toml_read_file(const char *path, char **error)
{
    try {
        return convert_table(toml::parse_file(path));
    } catch (const toml::parse_error &e) {
        std::ostringstream text;
        text << path << ":" << e.source().begin.line << ": "
             << e.description();
        *error = strdup(text.str().c_str());
    } catch (const std::exception &e) {
        *error = strdup(e.what());
    }
    return nullptr;
}
