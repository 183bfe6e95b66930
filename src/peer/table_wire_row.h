/* Conversion of rows to and from protobuf; private to src/peer/table_*.c. */
#ifndef PS_PEER_TABLE_WIRE_ROW_H
#define PS_PEER_TABLE_WIRE_ROW_H

#include "peer/table.pb-c.h"
#include "table/table.h"

/*
 * The protobuf form of a row.  It refers to memory of the struct table_row
 * that it was made from, which must outlive it.
 */
struct table_wire_row {
    Parsleyspur__TableRow row;
    Parsleyspur__TableRoute route;
    Parsleyspur__TablePool pool;
};

void table_wire_row_to_pb(struct table_wire_row *, const struct table_row *);
void table_wire_row_clear(struct table_wire_row *);
bool table_wire_row_from_pb(const Parsleyspur__TableRow *, struct table_row *);

#endif
