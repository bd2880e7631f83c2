/** SHA-256 of a text in lower-case hex. The shell passes the implementation to the core. */
export type Hash = (text: string) => string;
