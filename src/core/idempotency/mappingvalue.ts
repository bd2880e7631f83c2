/** The value of a key in the store. */
interface MappingValue {
  readonly ticket: string;
  readonly requestHash: string;
}

/** Writes and reads the store's value that maps an `Idempotency-Key` to a ticket. */
export const mappingValue = {
  write({ ticket, requestHash }: MappingValue): string {
    return JSON.stringify({ ticket, requestHash });
  },

  /** Undefined if the value is not one of ours. */
  read(value: string): MappingValue | undefined {
    try {
      const { ticket, requestHash } = JSON.parse(value) as Partial<MappingValue>;
      return ticket && requestHash ? { ticket, requestHash } : undefined;
    } catch {
      return undefined;
    }
  },
};
