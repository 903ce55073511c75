/* Declarations shared by the sources of the usage reports. */
#ifndef KS_USAGE_ROW_H
#define KS_USAGE_ROW_H

#include "ks/usage.h"

/**
 * struct usage_report - the report of a window
 * @in_row: the row has it, as far as is known
 * @dropped: the write in flight removes it from the row
 * @sent: this process has sent it
 * @acked: the platform has accepted it
 * @next_try_us: when it may be sent again after it was refused
 */
struct usage_report {
	int64_t window;
	char *body;
	bool in_row;
	bool dropped;
	bool sent;
	bool acked;
	int64_t next_try_us;
};

/**
 * struct usage_row - contents of the row of sealed reports
 * @reports: struct usage_report by ascending window: those of the row, and
 *	those that this process has sealed or sent
 * @sealing: struct usage_report of the write in flight
 * @next: number of the next window to be sealed, KS_USAGE_NONE if there is no
 *	row
 * @era: of the store when the row was written, see struct ks_row; 0 if there is
 *	no row, or the row does not say
 * @written_next: value of @next that the write in flight has
 */
struct usage_row {
	GQueue reports;
	GQueue sealing;
	int64_t next;
	uint64_t era;
	int64_t written_next;
};

void usage_row_init(struct usage_row *row);
void usage_row_deinit(struct usage_row *row);
struct usage_report *usage_row_find(const struct usage_row *row,
				    int64_t window);
bool usage_row_parse(struct usage_row *row, ks_str_t value);
GString *usage_row_begin_write(struct usage_row *row, int64_t oldest);
bool usage_row_add(struct usage_row *row, GString *text, int64_t window,
		   const char *body);
char *usage_row_format(const struct usage_row *row, const char *reports,
		       uint64_t era);
unsigned usage_row_adopt_write(struct usage_row *row);
void usage_row_drop_write(struct usage_row *row);
void usage_row_expire(struct usage_row *row, int64_t oldest, int64_t called);

#endif
