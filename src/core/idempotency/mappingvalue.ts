import { parseJson, shape } from '../shape/index.js';

/** Value of a mapped key in the store. */
interface MappingValue {
  readonly ticket: string;
  readonly requestHash: string;
}

const isMappingValue = shape.object({ ticket: shape.text, requestHash: shape.text });

/** Encodes and decodes the store value that maps an `Idempotency-Key` to a ticket. */
export const mappingValue = {
  write({ ticket, requestHash }: MappingValue): string {
    return JSON.stringify({ ticket, requestHash });
  },

  /** Returns undefined if the value has another form. */
  read(value: string): MappingValue | undefined {
    const read = parseJson(value);
    return isMappingValue(read) ? (read as MappingValue) : undefined;
  },
};
