/** Binary min-heap; items with equal keys leave in order of insertion. */
export class Heap<Item> {
  private readonly items: { readonly key: number; readonly order: number; readonly item: Item }[] =
    [];

  private order = 0;

  get size(): number {
    return this.items.length;
  }

  push(key: number, item: Item): void {
    this.order += 1;
    this.items.push({ key, order: this.order, item });
    this.siftUp(this.items.length - 1);
  }

  peek(): Item | undefined {
    return this.items[0]?.item;
  }

  /** Returns the lowest key, or infinity when empty. */
  peekKey(): number {
    return this.items[0]?.key ?? Infinity;
  }

  pop(): Item | undefined {
    const [first] = this.items;
    const last = this.items.pop();
    if (!first || !last) return undefined;
    if (this.items.length > 0) {
      this.items[0] = last;
      this.siftDown();
    }
    return first.item;
  }

  /** Drops the items that fail the test, in O(n log n) time at most. */
  retain(test: (item: Item) => boolean): void {
    const kept = this.items.filter(({ item }) => test(item));
    this.items.length = 0;
    for (const entry of kept) {
      this.items.push(entry);
      this.siftUp(this.items.length - 1);
    }
  }

  private before(a: number, b: number): boolean {
    const one = this.items[a]!;
    const other = this.items[b]!;
    return one.key < other.key || (one.key === other.key && one.order < other.order);
  }

  private swap(a: number, b: number): void {
    const held = this.items[a]!;
    this.items[a] = this.items[b]!;
    this.items[b] = held;
  }

  private siftUp(from: number): void {
    let at = from;
    while (at > 0) {
      const parent = Math.floor((at - 1) / 2);
      if (!this.before(at, parent)) return;
      this.swap(at, parent);
      at = parent;
    }
  }

  private siftDown(): void {
    let at = 0;
    for (;;) {
      const left = 2 * at + 1;
      if (left >= this.items.length) return;
      const right = left + 1;
      const least = right < this.items.length && this.before(right, left) ? right : left;
      if (!this.before(least, at)) return;
      this.swap(least, at);
      at = least;
    }
  }
}
