/* Rows inside the messages of the tables: private to src/peer/table_*.c. */
#ifndef PS_PEER_TABLE_WIRE_ROW_H
#define PS_PEER_TABLE_WIRE_ROW_H

#include "peer/table.pb-c.h"
#include "table/table.h"

/* A packed row; it points into the struct table_row that filled it. */
struct table_wire_row {
    Parsleyspur__TableRow row;
    Parsleyspur__TableRoute route;
    Parsleyspur__TablePool pool;
};

void table_wire_row_fill(struct table_wire_row *, const struct table_row *);
void table_wire_row_drop(struct table_wire_row *);
bool table_wire_row_read(const Parsleyspur__TableRow *, struct table_row *);

#endif
