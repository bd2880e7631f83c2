/** A process that can die or be paused. */
export interface Process {
  alive: boolean;
  paused: boolean;
}

/** One message on its way. */
interface Message {
  readonly label: string;
  readonly to: Process;
  readonly deliver: () => void;
  readonly lost: () => void;
}

/** A call whose caller still waits. */
interface OpenCall {
  readonly label: string;
  readonly from: Process;
  readonly isOpen: () => boolean;
  readonly giveUp: () => void;
}

/** What a call needs: `serve` runs at the receiver, `done` at the caller, at most once each. */
interface Call<Answer> {
  readonly label: string;
  readonly from: Process;
  readonly to: Process;
  readonly serve: (reply: (answer: Answer) => void) => void;
  /** Undefined when no answer comes: nobody can tell then whether the call was served. */
  readonly done: (answer: Answer | undefined) => void;
}

/** Messages between processes: any of them may come late, out of order, or never. */
export class Network {
  private pending: Message[] = [];

  private open: OpenCall[] = [];

  constructor(private readonly note: (line: string) => void) {}

  call<Answer>({ label, from, to, serve, done }: Call<Answer>): void {
    let isOpen = true;
    const settle = (answer: Answer | undefined) => {
      if (!isOpen) return;
      isOpen = false;
      this.open = this.open.filter((other) => other.isOpen());
      if (from.alive) done(answer);
    };
    // A paused caller hears of a loss when it wakes.
    const lost = () => {
      if (!from.paused) settle(undefined);
      else this.pending.push({ label: `loss of ${label}`, to: from, deliver: lost, lost });
    };
    const reply = (answer: Answer) => {
      const deliver = () => settle(answer);
      this.pending.push({ label: `answer to ${label}`, to: from, deliver, lost });
    };
    this.open.push({ label, from, isOpen: () => isOpen, giveUp: lost });
    this.pending.push({ label, to, deliver: () => serve(reply), lost });
  }

  /** Sends without waiting for an answer. */
  tell(label: string, to: Process, deliver: () => void): void {
    this.pending.push({ label, to, deliver, lost: () => {} });
  }

  /** Delivers one message whose receiver runs; a dead receiver loses it. */
  deliver(pick: number): void {
    const ready = this.ready();
    this.pass(ready[pick % Math.max(1, ready.length)]);
  }

  /** Delivers the oldest message whose label begins so; false if there is none. */
  deliverNamed(start: string): boolean {
    return this.pass(this.ready().find(({ label }) => label.startsWith(start)));
  }

  lose(pick: number): void {
    this.drop(this.pending[pick % Math.max(1, this.pending.length)]);
  }

  loseNamed(start: string): void {
    this.drop(this.pending.find(({ label }) => label.startsWith(start)));
  }

  /** A caller stops waiting; its message may still be on its way. */
  giveUp(pick: number): void {
    const awake = this.open.filter(({ from }) => !from.paused);
    const call = awake[pick % Math.max(1, awake.length)];
    if (!call) return;
    this.note(`GIVEN UP ${call.label}`);
    call.giveUp();
  }

  private ready(): Message[] {
    return this.pending.filter(({ to }) => !to.alive || !to.paused);
  }

  private pass(message: Message | undefined): boolean {
    if (!message) return false;
    this.pending = this.pending.filter((other) => other !== message);
    this.note(`${message.to.alive ? '' : 'receiver dead: '}${message.label}`);
    if (message.to.alive) message.deliver();
    else message.lost();
    return true;
  }

  private drop(message: Message | undefined): void {
    if (!message) return;
    this.pending = this.pending.filter((other) => other !== message);
    this.note(`LOST ${message.label}`);
    message.lost();
  }
}
