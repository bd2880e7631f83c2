/** Encoding of keys and values in the gateway's JSON. */
export const base64 = {
  encode: (text: string): string => Buffer.from(text).toString('base64'),
  decode: (text: string): string => Buffer.from(text, 'base64').toString(),
};
