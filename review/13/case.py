"""Open channels to the store go silent, and a manifest is confirmed then."""

import asyncio
import sys
import time
from pathlib import Path

sys.dont_write_bytecode = True
sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
import kit3 as kit
import servers3 as servers

OLD, NEW = 'lovo22d', 'huvo11a'
CONTACT_S, CONFIG_S = 3.0, 2.5
# After the first manifest the VMs wait 0.4 s and poll the store again.
SILENT_AFTER_S, SECOND_AFTER_S = 0.55, 1.0
ROUNDS = 3


async def main(case):
    zones = {'marmara-a': 'marmara', 'ege-a': 'ege', 'anadolu-a': 'ic-anadolu'}
    address = f'{case.network}.200'
    store = kit.Store(address, kit.free_port(address))
    await store.start()
    gate = Gate(store, f'{case.network}.201')
    await gate.start()
    listed = {}
    for number, name in enumerate((OLD, NEW)):
        server = servers.Server(
            f'i-{name}', f'{case.network}.{100 + number}', case.record
        )
        await server.start()
        listed[name] = server
        store.put(
            'servers', server.name,
            kit.server_row(
                server.address, server.port, name, 'marmara-a', 100
            ),
        )  # fmt: skip
    version = 7

    def put(service):
        store.put(
            'op', 'config',
            kit.manifest(
                version,
                [kit.route('r-get', '/leny950/', 'safe', service)],
                [kit.service(OLD), kit.service(NEW)],
                [kit.tenant()],
            ),
        )  # fmt: skip
        case.record(f'manifest {version} is confirmed: {service}')
        return time.monotonic()

    put(OLD)
    vms = await case.start_vms(gate, zones, list(zones))
    await asyncio.sleep(3)
    sent = {}
    ends = asyncio.Event()

    async def client(vm):
        while not ends.is_set():
            request_id = kit.new_id()
            sent[request_id] = time.monotonic()
            status, _, _ = await kit.ask(
                vm, 'GET', '/leny950/2f', request_id=request_id
            )
            case.record(f'{request_id} at {vm.name}: {status}')
            await asyncio.sleep(0.02)

    clients = [asyncio.create_task(client(vm)) for vm in vms]
    late = []
    for _ in range(ROUNDS):
        version += 1
        began_at = put(OLD)
        await asyncio.sleep(SILENT_AFTER_S)
        silent_at = time.monotonic()
        if case.trouble:
            gate.go_silent()
            case.record('open channels to the store go silent')
        await asyncio.sleep(began_at + SECOND_AFTER_S - time.monotonic())
        version += 1
        confirmed_at = put(NEW)
        await asyncio.sleep(7)
        since = max(confirmed_at + CONFIG_S, silent_at + CONTACT_S)
        found = [
            sent[request_id]
            for request_id, _, _, _ in listed[OLD].runs
            if sent[request_id] > since
        ]
        case.record(
            f'{len(found)} requests run by the old service, sent later than '
            f'config after the confirmation and contact after the silence'
            + (f', the last {max(found) - confirmed_at:.2f} s after the '
               f'confirmation' if found else '')
        )
        late += found
        version += 1
        put(OLD)
        await asyncio.sleep(4)
        listed[OLD].runs.clear()
    ends.set()
    await asyncio.gather(*clients)
    kit.say(f'{len(late)} requests run by the old service too late')
    return bool(late)


class Gate:
    """A proxy in front of the store, whose open channels can go silent."""

    def __init__(self, store, address):
        self.store, self.address = store, address
        self.port = 0
        self.open = set()
        self.silent = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, self.address, 0)
        self.port = server.sockets[0].getsockname()[1]

    def go_silent(self):
        self.silent |= self.open

    async def _serve(self, reader, writer):
        self.open.add(writer)
        try:
            far = await asyncio.open_connection(
                self.store.address, self.store.port
            )
            await asyncio.gather(
                self._pass(reader, far[1], writer),
                self._pass(far[0], writer, writer),
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def _pass(self, reader, writer, channel):
        while content := await reader.read(65536):
            if channel in self.silent:
                continue
            writer.write(content)
            await writer.drain()
        writer.close()


kit.Case(__file__).run(main)
