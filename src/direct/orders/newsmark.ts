/** How far an entry has heard: the epoch of who gives the orders, and the number of the last change. */
export interface NewsMark {
  readonly epoch: number;
  readonly index: number;
}
