/* Limit on the nesting depth of YAML documents. */
#include "ks/version.h"

#include <yaml.h>

/* Release notes and settings have at most five levels. */
#define MAX_DEPTH 32

static int depth_change(yaml_event_type_t type)
{
	switch (type) {
	case YAML_SEQUENCE_START_EVENT:
	case YAML_MAPPING_START_EVENT:
		return 1;
	case YAML_SEQUENCE_END_EVENT:
	case YAML_MAPPING_END_EVENT:
		return -1;
	default:
		return 0;
	}
}

/**
 * ks_yaml_check_depth() - check the nesting depth of a YAML document
 * @line: set to the line of the first node that is too deep, from 1; undefined
 *	if the check passes
 *
 * The time of libyaml grows with the square of the depth: 64 KiB of opening
 * brackets take minutes. The check stops parsing at the first event that is too
 * deep. It does not report syntax errors; the parser of the document does.
 *
 * Return: false if a node is nested too deeply.
 */
bool ks_yaml_check_depth(ks_str_t yaml, int *line)
{
	yaml_event_type_t type = YAML_NO_EVENT;
	yaml_parser_t parser;
	yaml_event_t event;
	int depth = 0;

	yaml_parser_initialize(&parser);
	yaml_parser_set_input_string(
		&parser, (const unsigned char *)(yaml.data ? yaml.data : ""),
		yaml.len);
	while (type != YAML_STREAM_END_EVENT && depth <= MAX_DEPTH &&
	       yaml_parser_parse(&parser, &event)) {
		type = event.type;
		depth += depth_change(type);
		*line = (int)event.start_mark.line + 1;
		yaml_event_delete(&event);
	}
	yaml_parser_delete(&parser);
	return depth <= MAX_DEPTH;
}
