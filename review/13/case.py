"""A server in need names its limit in answers that take long to send."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'kit3'))
import kit
import servers

SERVICE = 'lovo22d'
NAME = 'i-7f3a91c2'
LIMIT = 1.0
CONTACT_S = 3.0
WINDOW_S = 4.0
PART_B, PARTS, PART_S = 60_000, 60, 0.2
RATE, SECONDS = 6, 12


async def main(case):
    zones = {'marmara-a': 'marmara', 'ege-a': 'ege'}
    named = []
    passed_on = {}
    sent_to = {}
    limit = (f'Server-Limit: {LIMIT}',) if case.trouble else ()

    async def send_slowly(_server, request_id, _path, _body, writer):
        named.append(time.monotonic())
        head = servers.answer(request_id, b'', *limit).replace(
            b'Content-Length: 0', b'Content-Length: %d' % (PART_B * PARTS)
        )
        writer.write(head)
        for _ in range(PARTS):
            writer.write(b'm' * PART_B)
            await writer.drain()
            await asyncio.sleep(PART_S)

    store = await case.store()
    server = servers.Server(
        NAME, f'{case.network}.100', case.record, send_slowly
    )
    await server.start()
    store.put(
        'op', 'config',
        kit.manifest(
            7,
            [kit.route('r-map', '/leny950/', 'download', SERVICE,
                       timeout='30s', goal='15s')],
            [kit.service(SERVICE)],
            [kit.tenant()],
        ),
    )  # fmt: skip
    store.put(
        'servers', NAME,
        kit.server_row(server.address, server.port, SERVICE, 'marmara-a', 90),
    )  # fmt: skip
    vms = await case.start_vms(store, zones, list(zones))
    await asyncio.sleep(2)
    statuses = {}

    async def download(vm):
        request_id = kit.new_id()
        sent_to[request_id] = vm.address
        status = 0
        try:
            reader, writer = await asyncio.open_connection(*vm.front)
            writer.write(kit.head('GET', '/leny950/2f', request_id, 30_000))
            head = await reader.readuntil(b'\r\n\r\n')
            status = int(head.split()[1])
            if b'server-limit' in head.lower():
                passed_on.setdefault(vm.address, time.monotonic())
                case.record(f'{vm.name} passes on the limit to {request_id}')
            length = next(
                int(line.split(b':')[1])
                for line in head.split(b'\r\n')
                if line.lower().startswith(b'content-length')
            )
            await reader.readexactly(length)
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            status = -status
        case.record(f'{request_id}: {status}')
        statuses[status] = statuses.get(status, 0) + 1

    tasks = []
    for number in range(RATE * SECONDS):
        tasks.append(asyncio.create_task(download(vms[number % len(vms)])))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*tasks)
    times = [
        at
        for request_id, _, at, _ in server.runs
        if at >= named[0] + CONTACT_S
        and at >= passed_on.get(sent_to[request_id], at) + 0.5
    ]
    if not case.trouble:
        times = [at for _, _, at, _ in server.runs]
    most = max(
        (sum(start <= at < start + WINDOW_S for at in times) for start in times),
        default=0,
    )
    allowed = LIMIT * WINDOW_S * 1.5 + 5
    text = f'answers {statuses}; in 4 s {most}, allowed {allowed}'
    if not case.trouble:
        text = f'answers {statuses}; in 4 s {most}, no limit was named'
    case.record(text)
    print(text)
    return case.trouble and most > allowed


kit.Case(__file__).run(main)
