/** Value of a mapped key in the store. */
interface MappingValue {
  readonly ticket: string;
  readonly requestHash: string;
}

/** Encodes and decodes the store value that maps an `Idempotency-Key` to a ticket. */
export const mappingValue = {
  write({ ticket, requestHash }: MappingValue): string {
    return JSON.stringify({ ticket, requestHash });
  },

  /** Returns undefined if the value has another form. */
  read(value: string): MappingValue | undefined {
    try {
      const { ticket, requestHash } = JSON.parse(value) as Partial<MappingValue>;
      return ticket && requestHash ? { ticket, requestHash } : undefined;
    } catch {
      return undefined;
    }
  },
};
