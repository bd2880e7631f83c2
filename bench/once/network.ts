/** A process that can die or be paused. */
export interface Process {
  alive: boolean;
  paused: boolean;
}

/** A message in transit. */
interface Message {
  readonly label: string;
  readonly to: Process;
  readonly deliver: () => void;
  readonly lost: () => void;
}

/** A call whose caller is still waiting. */
interface OpenCall {
  readonly label: string;
  readonly from: Process;
  readonly isOpen: () => boolean;
  readonly timeOut: () => void;
}

/** A call: `serve` runs at the receiver and `done` at the caller, each at most once. */
interface Call<Answer> {
  readonly label: string;
  readonly from: Process;
  readonly to: Process;
  readonly serve: (reply: (answer: Answer) => void) => void;
  /** Called with undefined if no answer comes; the call may have been served nevertheless. */
  readonly done: (answer: Answer | undefined) => void;
}

/** A network between processes: messages may be delayed, reordered or lost. */
export class Network {
  private pending: Message[] = [];

  private open: OpenCall[] = [];

  constructor(private readonly trace: (line: string) => void) {}

  call<Answer>({ label, from, to, serve, done }: Call<Answer>): void {
    let isOpen = true;
    const settle = (answer: Answer | undefined) => {
      if (!isOpen) return;
      isOpen = false;
      this.open = this.open.filter((other) => other.isOpen());
      if (from.alive) done(answer);
    };
    // A paused caller learns of the loss after it has resumed.
    const lost = () => {
      if (!from.paused) settle(undefined);
      else this.pending.push({ label: `loss of ${label}`, to: from, deliver: lost, lost });
    };
    const reply = (answer: Answer) => {
      const deliver = () => settle(answer);
      this.pending.push({ label: `answer to ${label}`, to: from, deliver, lost });
    };
    this.open.push({ label, from, isOpen: () => isOpen, timeOut: lost });
    this.pending.push({ label, to, deliver: () => serve(reply), lost });
  }

  /** Sends a message that has no answer. */
  send(label: string, to: Process, deliver: () => void): void {
    this.pending.push({ label, to, deliver, lost: () => {} });
  }

  /** Delivers a message whose receiver is not paused; if the receiver is dead, the message is lost. */
  deliver(pick: number): void {
    const ready = this.ready();
    this.deliverMessage(ready[pick % Math.max(1, ready.length)]);
  }

  /** Delivers the oldest message whose label starts with `start`; returns false if there is none. */
  deliverNamed(start: string): boolean {
    return this.deliverMessage(this.ready().find(({ label }) => label.startsWith(start)));
  }

  lose(pick: number): void {
    this.loseMessage(this.pending[pick % Math.max(1, this.pending.length)]);
  }

  loseNamed(start: string): void {
    this.loseMessage(this.pending.find(({ label }) => label.startsWith(start)));
  }

  /** Ends a caller's wait for an answer; its message may still arrive. */
  timeOut(pick: number): void {
    const active = this.open.filter(({ from }) => !from.paused);
    const call = active[pick % Math.max(1, active.length)];
    if (!call) return;
    this.trace(`GIVEN UP ${call.label}`);
    call.timeOut();
  }

  private ready(): Message[] {
    return this.pending.filter(({ to }) => !to.alive || !to.paused);
  }

  private deliverMessage(message: Message | undefined): boolean {
    if (!message) return false;
    this.pending = this.pending.filter((other) => other !== message);
    this.trace(`${message.to.alive ? '' : 'receiver dead: '}${message.label}`);
    if (message.to.alive) message.deliver();
    else message.lost();
    return true;
  }

  private loseMessage(message: Message | undefined): void {
    if (!message) return;
    this.pending = this.pending.filter((other) => other !== message);
    this.trace(`LOST ${message.label}`);
    message.lost();
  }
}
