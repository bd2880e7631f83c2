/** SHA-256 of a text, in lower-case hex. Cores are given it by the shell. */
export type Hash = (text: string) => string;
