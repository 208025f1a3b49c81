package yardusher;

/** An outbox item: the sums of all known rows of a customer. */
record CustomerSums(Customer customer) { }
